package lavendertrail.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import lavendertrail.model.FailureDomain
import lavendertrail.serving.AccountKey
import lavendertrail.serving.BackendServer
import lavendertrail.serving.CallerLimits
import lavendertrail.serving.CallerRequest
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.EngineSpec
import lavendertrail.serving.RequestKind
import lavendertrail.serving.Route
import lavendertrail.serving.RouteTarget
import lavendertrail.serving.ServerChanged
import lavendertrail.serving.ServiceSpec
import lavendertrail.serving.ServingConfig
import lavendertrail.standins.freePorts
import java.net.Socket

/** A gateway on loopback in front of one scripted server, with test-specific header names. */
internal class GatewayFixture(
    relayAddress: String? = null,
    settings: (GatewaySettings) -> GatewaySettings = { it },
    graceMillis: Long = 3_000,
    respond: (head: String, body: String) -> String?,
) : AutoCloseable {
    val server = ScriptedServer(respond)
    private val port = freePorts(1).single()
    private val group = singleEventLoop()
    val gateway =
        Gateway(
            settings(GatewaySettings("node", FailureDomain("a"), "127.0.0.1:$port", "127.0.0.1:0", relayAddress, graceMillis)),
            wire,
            group,
            StructuredLog("node"),
            GatewayMetrics(),
        )

    init {
        gateway.start()
        gateway.submit(ConfigAccepted(config))
        gateway.submit(ServerChanged(BackendServer("s1", "tools", server.address, FailureDomain("a"), slots = 4, isDraining = false)))
    }

    fun connect() = Socket("127.0.0.1", port).apply { soTimeout = READ_TIMEOUT_MILLIS }

    /** Sends one request over a new connection and returns the response; null if the connection ends before it is complete. */
    fun call(
        path: String,
        body: String = "",
        id: String = "r1",
        headers: String = "",
    ): Pair<String, String>? = connect().use { it.exchange(path, body, id, headers) }

    fun Socket.exchange(
        path: String,
        body: String,
        id: String,
        headers: String = "",
    ): Pair<String, String>? {
        val head = "POST $path HTTP/1.1\r\nHost: desk\r\nX-Attempt: $id\r\n${headers}Content-Length: ${body.length}\r\n\r\n"
        getOutputStream().write((head + body).toByteArray())
        return getInputStream().readMessage()
    }

    /** Waits until the gateway's event loop has run all tasks submitted earlier; connections may be read before those tasks. */
    fun awaitSubmittedTasks() {
        group.next().submit {}.get()
    }

    override fun close() {
        server.close()
        group.shutdownGracefully()
    }

    companion object {
        private const val READ_TIMEOUT_MILLIS = 5_000

        val wire =
            GatewayProtocol(
                decodeRequest = { head ->
                    head.headers()["X-Attempt"]?.let {
                        CallerRequest(
                            attemptId = it,
                            method = head.method().name(),
                            host = "desk",
                            target = head.uri(),
                            deadlineMillis = head.headers()["X-Deadline"]?.toLong() ?: 1_000,
                            resumeAfterEventId = head.headers()["X-After"],
                            resumedAttemptId = head.headers()["X-Resumes"],
                            accountKey = head.headers()["X-Key"]?.let(::AccountKey),
                        )
                    }
                },
                serverHeaders = { headers, effect ->
                    val copy = headers.copy().set("X-Server", effect.server.id)
                    if (effect.hidesAccountKey) copy.remove("X-Key").remove("X-Account")
                    effect.accountName?.let { copy.set("X-Account", it) }
                    effect.resumeAfterEventId?.let { copy.set("X-After", it) } ?: copy
                },
                decodeResponseHead = { head ->
                    ServerResponseHead(
                        attemptId = head.headers()["X-Attempt"],
                        hasServerMark = head.headers().contains("X-Signed"),
                        isNotRun = head.headers().contains("X-Not-Run"),
                        isWrongServer = head.status().code() == 421,
                        isLeaving = head.headers().contains("X-Leaving"),
                        load = null,
                        requestsPerSecondLimit = head.headers()["X-Limit"]?.toDouble(),
                        keepAliveMillis = null,
                    )
                },
                rejection = { _, effect ->
                    val status = if (effect.reason.isNotRun) HttpResponseStatus.SERVICE_UNAVAILABLE else HttpResponseStatus.BAD_GATEWAY
                    DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER).also {
                        it.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
                    }
                },
                readinessPath = "/ready",
            )

        private fun route(
            prefix: String,
            kind: RequestKind,
        ) = Route(prefix, "desk", prefix, listOf(RouteTarget("tools", 1)), kind, 2_000, 100, maxAttempts = 2, priority = 1)

        val config =
            ServingConfig(
                version = 1,
                routes =
                    listOf(
                        route("/safe/", RequestKind.IDEMPOTENT),
                        route("/once/", RequestKind.NON_IDEMPOTENT),
                        route("/stream/", RequestKind.STREAM),
                        route("/resumable/", RequestKind.STREAM).copy(maxAttempts = 1, isResumable = true),
                    ),
                services = mapOf("tools" to ServiceSpec("tools", "/healthz", 10, EngineSpec(4, 1_000, 4))),
                limits = CallerLimits(maxBodyBytes = 10_000),
            )
    }
}

/** A response of the scripted server with the headers that the gateway expects of a backend server. */
internal fun signed(
    body: String,
    id: String = "r1",
    extra: String = "",
) = "HTTP/1.1 200 OK\r\nX-Attempt: $id\r\nX-Signed: 1\r\n${extra}Content-Length: ${body.length}\r\n\r\n$body"
