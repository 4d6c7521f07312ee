package lavendertrail.http

import io.undertow.server.HttpServerExchange
import org.xnio.IoUtils
import org.xnio.channels.StreamSinkChannel
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Writes a [ChunkStream] to a connection from the connection's I/O thread. An idle stream occupies no thread, so that
 * hundreds of streams can be open at once.
 */
internal class ChunkPump(
    private val exchange: HttpServerExchange,
    private val stream: ChunkStream,
) {
    private val scheduled = AtomicBoolean()
    private val channel: StreamSinkChannel = exchange.responseChannel
    private var pending: ByteBuffer? = null
    private var ending = false
    private var started = !stream.holdHeaders

    fun start() {
        channel.writeSetter.set { pump() }
        exchange.connection.addCloseListener { stream.close() }
        stream.listen(::schedule)
        schedule()
    }

    /** Called from the threads that write to the stream. They must not get an exception when the server has stopped. */
    private fun schedule() {
        if (!scheduled.compareAndSet(false, true)) return
        try {
            exchange.ioThread.execute(::pump)
        } catch (e: RejectedExecutionException) {
            stream.close()
        }
    }

    private fun pump() {
        scheduled.set(false)
        try {
            if (!ending && writeChunks() && started) channel.flushOrResume()
        } catch (e: IOException) {
            abortConnection()
        }
    }

    /** Returns false if the channel accepts no more bytes for now or the stream has ended. */
    private fun writeChunks(): Boolean {
        while (true) {
            val buffer = pending ?: takeChunks() ?: return !ending
            pending = buffer
            started = true
            while (buffer.hasRemaining()) {
                if (channel.write(buffer) == 0) {
                    channel.resumeWrites()
                    return false
                }
            }
            pending = null
        }
    }

    /** Takes the available chunks as one buffer, or null if there are none. Ends the exchange at the end of the stream. */
    private fun takeChunks(): ByteBuffer? {
        val first = stream.poll() ?: return null
        when {
            first === ChunkStream.END -> finishExchange()
            first === ChunkStream.ABORT -> abortConnection()
            else -> return joinAvailable(first)
        }
        return null
    }

    /** Joins [first] and further available chunks, because one write instead of many saves system calls under load. */
    private fun joinAvailable(first: ByteArray): ByteBuffer {
        val more = stream.pollData(MAX_JOINED_BYTES - first.size)
        if (more.isEmpty()) return ByteBuffer.wrap(first)
        val joined = ByteBuffer.allocate(first.size + more.sumOf { it.size })
        joined.put(first)
        more.forEach(joined::put)
        return joined.flip()
    }

    private fun finishExchange() {
        ending = true
        stream.close()
        exchange.endExchange()
    }

    private fun abortConnection() {
        ending = true
        stream.close()
        IoUtils.safeClose(exchange.connection)
    }

    private companion object {
        const val MAX_JOINED_BYTES = 16 * 1024
    }

    private fun StreamSinkChannel.flushOrResume() {
        if (flush()) suspendWrites() else resumeWrites()
    }
}
