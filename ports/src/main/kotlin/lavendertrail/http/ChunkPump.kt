package lavendertrail.http

import io.undertow.server.HttpServerExchange
import org.xnio.IoUtils
import org.xnio.channels.StreamSinkChannel
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Writes a [ChunkStream] to a connection from the connection's I/O thread. It takes no thread while the stream is
 * silent, so that hundreds of open streams need none.
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

    /** Called by the writers of the stream, who must not fail because the server has stopped. */
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
            cut()
        }
    }

    /** False where the channel took no more or the stream is over. */
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

    /** Joins the chunks that are there; ends the exchange at the stream's end. */
    private fun takeChunks(): ByteBuffer? {
        val first = stream.poll() ?: return null
        when {
            first === ChunkStream.END -> finish()
            first === ChunkStream.ABORT -> cut()
            else -> return join(first)
        }
        return null
    }

    /** One write for all chunks that have come meanwhile saves system calls under load. */
    private fun join(first: ByteArray): ByteBuffer {
        val more = stream.pollData(JOINED_BYTES - first.size)
        if (more.isEmpty()) return ByteBuffer.wrap(first)
        val joined = ByteBuffer.allocate(first.size + more.sumOf { it.size })
        joined.put(first)
        more.forEach(joined::put)
        return joined.flip()
    }

    private fun finish() {
        ending = true
        stream.close()
        exchange.endExchange()
    }

    private fun cut() {
        ending = true
        stream.close()
        IoUtils.safeClose(exchange.connection)
    }

    private companion object {
        const val JOINED_BYTES = 16 * 1024
    }

    private fun StreamSinkChannel.flushOrResume() {
        if (flush()) suspendWrites() else resumeWrites()
    }
}
