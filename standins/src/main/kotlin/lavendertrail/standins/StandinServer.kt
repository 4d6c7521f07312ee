package lavendertrail.standins

import lavendertrail.http.ChunkStream
import lavendertrail.http.HttpBinding
import lavendertrail.http.HttpServer
import lavendertrail.http.HttpServerLimits
import lavendertrail.http.httpServer
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.BindException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * The HTTP server of a stand-in, which can be taken down and brought up again at the same port. Long waits are streams that
 * occupy no thread, so few worker threads suffice.
 */
public class StandinServer internal constructor(
    binding: HttpBinding,
    private val handler: HttpHandler,
) : AutoCloseable {
    private val limits = HttpServerLimits(maxBodyBytes = MAX_BODY_BYTES, workerThreads = WORKER_THREADS, ioThreads = 1)
    private var server: HttpServer? = if (binding.port == 0) startOnFreePort(binding.ip) else httpServer(binding, limits, handler)
    private val fixedBinding = HttpBinding(binding.ip, checkNotNull(server).port)

    /** `ip:port`, which stays the same across restarts. */
    public val address: String = "${fixedBinding.ip}:${fixedBinding.port}"

    public val isUp: Boolean
        @Synchronized
        get() = server != null

    /** Closes open connections and refuses new ones. */
    @Synchronized
    public fun takeDown() {
        server?.stop()
        server = null
    }

    @Synchronized
    public fun bringUp() {
        if (server == null) server = httpServer(fixedBinding, limits, handler)
    }

    override fun close(): Unit = takeDown()

    /** Uses a port outside the ephemeral range, so that no outgoing connection takes it while the server is down. */
    private fun startOnFreePort(ip: String): HttpServer {
        repeat(MAX_PORT_ATTEMPTS) {
            try {
                return httpServer(HttpBinding(ip, nextPort()), limits, handler)
            } catch (e: RuntimeException) {
                if (e.cause !is BindException) throw e
            }
        }
        error("no free port in $PORTS after $MAX_PORT_ATTEMPTS attempts")
    }

    private companion object {
        /** 870,000 history tokens of 4 bytes, plus room for JSON escapes and chain hashes. */
        const val MAX_BODY_BYTES = 16L * 1024 * 1024
        const val WORKER_THREADS = 64
        const val MAX_PORT_ATTEMPTS = 200

        /** Below 32,768, where the ephemeral port range of Linux starts. */
        val PORTS = 20_000..32_000

        /** Starts at a random offset, so that two processes rarely try the same ports. */
        private val lastPort = AtomicInteger(Random.nextInt(PORTS.last - PORTS.first))

        fun nextPort(): Int = PORTS.first + Math.floorMod(lastPort.incrementAndGet(), PORTS.last - PORTS.first)
    }
}

/** Any free port on loopback. */
internal val LOOPBACK = HttpBinding("127.0.0.1", 0)

/** A response that closes the connection without sending a byte. */
internal fun abortedResponse(): Response = Response(Status.OK).body(Body(ChunkStream(holdHeaders = true).apply { abort() }))

/** A response that never arrives, while the connection stays open. */
internal fun hangingResponse(): Response = Response(Status.OK).body(Body(ChunkStream(holdHeaders = true)))

internal fun jsonResponse(
    body: String,
    status: Status = Status.OK,
): Response = Response(status).header("content-type", "application/json").body(body)
