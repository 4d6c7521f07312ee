package lavendertrail.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled

/**
 * The ids of the latest requests on a connection, to which a server may send a second answer late. Where an answer that was cut short
 * is followed by such a copy, the copy's bytes take the place of the missing ones, and the lengths still fit.
 */
internal class CarriedAttempts {
    private val ids = ArrayDeque<ByteBuf>()

    fun add(id: String) {
        ids.addLast(Unpooled.wrappedBuffer(id.toByteArray()))
        if (ids.size > MAX_IDS) ids.removeFirst()
    }

    /** Whether [bytes] hold the head of an answer to one of these requests. If more bytes follow, the start of a head is enough. */
    fun hasAnswerIn(
        bytes: ByteBuf,
        areBytesFollowing: Boolean,
    ): Boolean {
        var from = bytes.readerIndex()
        while (true) {
            val rest = bytes.slice(from, bytes.writerIndex() - from)
            val found = ByteBufUtil.indexOf(STATUS_LINE_START, rest)
            if (found < 0) return false
            val head = rest.slice(found, rest.writerIndex() - found)
            if (head.readableBytes() < STATUS_LINE_BYTES) return areBytesFollowing
            if (isStatusLine(head) && (areBytesFollowing || ids.any { ByteBufUtil.indexOf(it, head) >= 0 })) return true
            from += found + 1
        }
    }

    private fun isStatusLine(head: ByteBuf): Boolean =
        STATUS_LINE.matches(head.toString(head.readerIndex(), STATUS_LINE_BYTES, Charsets.ISO_8859_1))

    private companion object {
        val STATUS_LINE_START: ByteBuf = Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer("HTTP/1.".toByteArray()))

        /** Copies arrive within a second or so, in which a connection carries few requests. */
        const val MAX_IDS = 16
    }
}

/** The start of a response; a request that a server quotes has no status. */
internal val STATUS_LINE = Regex("""HTTP/1\.\d \d{3}""")
private const val STATUS_LINE_BYTES = 12
