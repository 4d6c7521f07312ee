package lavendertrail.gateway

import com.github.michaelbull.result.get
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNotSame
import kotlin.test.assertSame

/** Guards against a server's second copy of a refusal being taken for the answer to a later attempt of the same request. */
class ServerPoolTest {
    private val refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    private val server = ScriptedServer { head, _ -> if ("/refused" in head) refusal else signed("done") }
    private val group = singleEventLoop()
    private val pool = ServerPool(ServerConnector(group.next(), 1_000), ::nowMillis)
    private val backend = BackendServer("s1", "tools", server.address, FailureDomain("a"), slots = 4, isDraining = false)

    @AfterTest
    fun close() {
        server.close()
        group.shutdownGracefully()
    }

    private fun acquire(attemptId: String): ServerConnection {
        val connection = CompletableFuture<ServerConnection>()
        group.next().execute { pool.acquire(backend, attemptId) { connection.complete(assertNotNull(it.get())) } }
        return connection.get(5, TimeUnit.SECONDS)
    }

    /** Sends a request and returns the status of its response. */
    private fun ServerConnection.exchange(
        path: String,
        attemptId: String,
    ): Int {
        val status = CompletableFuture<Int>()
        var code = 0
        val listener =
            ResponseListener(
                onHead = { head ->
                    code = head.status().code()
                    if (head.headers().contains("X-Not-Run")) recordRefusal()
                    true
                },
                onContent = {},
                onEnd = { status.complete(code) },
                onFailure = { status.completeExceptionally(IllegalStateException(it)) },
            )
        group.next().execute { send(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path), listener, attemptId) }
        return status.get(5, TimeUnit.SECONDS)
    }

    // Only the latest id was compared, so a request between the two attempts made the connection eligible again.
    @Test
    fun `an attempt that was refused on a connection never uses it again`() {
        val first = acquire("r1")
        assertEquals(503, first.exchange("/refused", "r1"))
        assertSame(first, acquire("r2"))
        assertEquals(200, first.exchange("/", "r2"))
        val second = acquire("r1")
        assertNotSame(first, second)
        assertSame(first, acquire("r3"))
    }

    @Test
    fun `a connection with many refusals is closed`() {
        val connection = acquire("r0")
        repeat(100) { assertEquals(503, connection.exchange("/refused", "r$it")) }
        assertNotSame(connection, acquire("r100"))
    }
}
