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
 * A stand-in's HTTP server, which can go down and come back at the same port. Long waits are streams without a thread,
 * so few worker threads are enough.
 */
public class StandinServer internal constructor(
    binding: HttpBinding,
    private val handler: HttpHandler,
) : AutoCloseable {
    private val limits = HttpServerLimits(maxBodyBytes = MAX_BODY_BYTES, workerThreads = WORKER_THREADS, ioThreads = 1)
    private var server: HttpServer? = if (binding.port == 0) startOnFreePort(binding.ip) else httpServer(binding, limits, handler)
    private val fixed = HttpBinding(binding.ip, checkNotNull(server).port)

    /** `ip:port`, the same over restarts. */
    public val address: String = "${fixed.ip}:${fixed.port}"

    public val isUp: Boolean
        @Synchronized
        get() = server != null

    /** Refuses connections and cuts the open ones. */
    @Synchronized
    public fun down() {
        server?.stop()
        server = null
    }

    @Synchronized
    public fun up() {
        if (server == null) server = httpServer(fixed, limits, handler)
    }

    override fun close(): Unit = down()

    /** A port outside the range of outgoing connections, so that none takes it while the server is down. */
    private fun startOnFreePort(ip: String): HttpServer {
        repeat(MAX_PORT_TRIES) {
            try {
                return httpServer(HttpBinding(ip, nextPort()), limits, handler)
            } catch (e: RuntimeException) {
                if (e.cause !is BindException) throw e
            }
        }
        error("no free port in $PORTS after $MAX_PORT_TRIES tries")
    }

    private companion object {
        /** 870,000 history tokens of 4 bytes, and room for JSON escapes and chain hashes. */
        const val MAX_BODY_BYTES = 16L * 1024 * 1024
        const val WORKER_THREADS = 64
        const val MAX_PORT_TRIES = 200

        /** Below 32,768, where Linux starts to take ports for outgoing connections. */
        val PORTS = 20_000..32_000

        /** Starts at random, so that two processes seldom try the same ports. */
        private val lastPort = AtomicInteger(Random.nextInt(PORTS.last - PORTS.first))

        fun nextPort(): Int = PORTS.first + Math.floorMod(lastPort.incrementAndGet(), PORTS.last - PORTS.first)
    }
}

/** Any free port on loopback. */
internal val LOOPBACK = HttpBinding("127.0.0.1", 0)

/** A response that cuts the connection without a byte. */
internal fun cutConnection(): Response = Response(Status.OK).body(Body(ChunkStream(holdHeaders = true).apply { abort() }))

/** A response that never comes, over a connection that stays open. */
internal fun silence(): Response = Response(Status.OK).body(Body(ChunkStream(holdHeaders = true)))

internal fun jsonResponse(
    body: String,
    status: Status = Status.OK,
): Response = Response(status).header("content-type", "application/json").body(body)
