package lavendertrail.http

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpServerExchange
import io.undertow.server.ServerConnection
import io.undertow.util.Headers
import io.undertow.util.HttpString
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.MemoryBody
import org.http4k.core.MemoryRequest
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.Uri
import org.tinylog.kotlin.Logger
import org.xnio.IoUtils
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.URI
import java.nio.ByteBuffer
import java.util.concurrent.ConcurrentHashMap

/** A running HTTP server. [stop] closes all connections without waiting for open requests; drain the server first if needed. */
public interface HttpServer : AutoCloseable {
    public val port: Int

    public fun stop()

    override fun close(): Unit = stop()
}

/**
 * Limits of a server and of each request. [errorBody] returns the JSON body for a status with which the server itself rejects
 * a request because its method is unknown or its body can't be read. Worker threads run the handlers; [ChunkStream]
 * bodies are sent without a worker thread.
 */
public data class HttpServerLimits(
    public val maxBodyBytes: Long = 8L * 1024 * 1024,
    public val maxHeaderBytes: Int = 32 * 1024,
    public val readTimeoutMillis: Int = 30_000,
    public val workerThreads: Int = 320,
    public val ioThreads: Int = 2,
    public val errorBody: (Int) -> String = { "" },
)

private const val COPY_BUFFER_BYTES = 8 * 1024

/**
 * A body that exceeds the limit by less than this is read to its end, because a client that is still sending when the
 * connection closes gets a broken pipe instead of the error response.
 */
private const val MAX_DRAINED_BYTES = 4L * 1024 * 1024

/** Time that Undertow waits for running handlers when it stops; its default of 10 s would delay the replacement of a server. */
private const val STOP_TIMEOUT_MILLIS = 200

/**
 * Starts an HTTP server for [handler]. Body streams are flushed after each read, so that events reach the client as they are
 * produced. The server library is used in this file and [ChunkPump] only.
 */
public fun httpServer(
    binding: HttpBinding,
    limits: HttpServerLimits = HttpServerLimits(),
    handler: HttpHandler,
): HttpServer {
    routeServerLogs()
    val connections = ConcurrentHashMap.newKeySet<ServerConnection>()
    val undertow =
        Undertow
            .builder()
            .addListener(binding)
            .setWorkerThreads(limits.workerThreads)
            .setIoThreads(limits.ioThreads)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes + MAX_DRAINED_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.readTimeoutMillis)
            .setServerOption(UndertowOptions.SHUTDOWN_TIMEOUT, STOP_TIMEOUT_MILLIS)
            .setSocketOption(org.xnio.Options.READ_TIMEOUT, limits.readTimeoutMillis)
            .setSocketOption(org.xnio.Options.TCP_NODELAY, true)
            .setHandler { exchange ->
                connections.track(exchange.connection)
                exchange.receiveRequest(limits, handler)
            }.build()
    undertow.start()
    return object : HttpServer {
        override val port: Int = (undertow.listenerInfo.first().address as InetSocketAddress).port

        override fun stop() {
            connections.forEach { IoUtils.safeClose(it) }
            undertow.stop()
            connections.forEach { IoUtils.safeClose(it) }
        }
    }
}

private fun Undertow.Builder.addListener(binding: HttpBinding): Undertow.Builder =
    if (binding.tls == null) {
        addHttpListener(binding.port, binding.ip)
    } else {
        addHttpsListener(binding.port, binding.ip, binding.tls)
    }

/** Routes the log lines of the server library to the logger of this process instead of `java.util.logging`. */
private fun routeServerLogs() {
    if (System.getProperty(LOG_PROVIDER) == null) System.setProperty(LOG_PROVIDER, "slf4j")
}

private const val LOG_PROVIDER = "org.jboss.logging.provider"

private fun MutableSet<ServerConnection>.track(connection: ServerConnection) {
    if (add(connection)) connection.addCloseListener { remove(it) }
}

/** Reads the body in the I/O thread, so that a client that sends slowly occupies no worker thread. */
private fun HttpServerExchange.receiveRequest(
    limits: HttpServerLimits,
    handler: HttpHandler,
) {
    val method = Method.entries.find { it.name == requestMethod.toString() }
    if (method == null) {
        reject(Status.METHOD_NOT_ALLOWED, limits)
        return
    }
    val body = BoundedBody(limits.maxBodyBytes)
    requestReceiver.receivePartialBytes(
        { exchange, part, last ->
            body.add(part)
            if (last) exchange.dispatchRequest(body, method, limits, handler)
        },
        { exchange, error ->
            Logger.debug { "http: request body could not be read: ${error.message}" }
            exchange.reject(Status.REQUEST_ENTITY_TOO_LARGE, limits)
        },
    )
}

private fun HttpServerExchange.dispatchRequest(
    body: BoundedBody,
    method: Method,
    limits: HttpServerLimits,
    handler: HttpHandler,
) {
    val bytes = body.bytesOrNull()
    if (bytes == null) reject(Status.REQUEST_ENTITY_TOO_LARGE, limits) else dispatch(Runnable { handleRequest(handler, method, bytes) })
}

private fun HttpServerExchange.reject(
    status: Status,
    limits: HttpServerLimits,
) {
    statusCode = status.code
    val body = limits.errorBody(status.code)
    if (body.isNotEmpty()) responseHeaders.put(Headers.CONTENT_TYPE, "application/json; charset=utf-8")
    responseSender.send(body)
}

private fun HttpServerExchange.handleRequest(
    handler: HttpHandler,
    method: Method,
    bytes: ByteArray,
) {
    val response =
        try {
            handler(toRequest(method, bytes))
        } catch (e: Exception) {
            Logger.error(e) { "http: handler of $requestMethod $requestPath failed" }
            Response(Status.INTERNAL_SERVER_ERROR)
        }
    try {
        sendResponse(response)
    } catch (e: IOException) {
        Logger.debug { "http: response to $requestMethod $requestPath could not be sent: ${e.message}" }
        IoUtils.safeClose(connection)
    }
}

private fun HttpServerExchange.toRequest(
    method: Method,
    bytes: ByteArray,
): Request {
    val query = if (queryString.isNullOrEmpty()) "" else "?$queryString"
    val headers = requestHeaders.flatMap { values -> values.map { values.headerName.toString() to it } }
    return MemoryRequest(
        method,
        Uri.of(rawPath + query),
        headers,
        MemoryBody(ByteBuffer.wrap(bytes)),
    )
}

/** The path without decoding. http4k decodes path segments itself, and decoding them twice would change a `+` or a `%`. */
private val HttpServerExchange.rawPath: String
    get() = if (isHostIncludedInRequestURI) URI.create(requestURI).rawPath else requestURI

private fun HttpServerExchange.sendResponse(response: Response) {
    statusCode = response.status.code
    response.headers.forEach { (name, value) ->
        if (!name.equals("content-length", ignoreCase = true)) responseHeaders.add(HttpString(name), value.orEmpty())
    }
    val body = response.body
    if (body is MemoryBody) {
        responseSender.send(body.payload.duplicate())
        return
    }
    when (val stream = body.stream) {
        is ChunkStream -> ChunkPump(this, stream).start()
        else -> response.use { copyBlocking(stream, body) }
    }
}

private fun HttpServerExchange.copyBlocking(
    stream: InputStream,
    body: Body,
) {
    body.length?.let { responseContentLength = it }
    startBlocking()
    stream.copyFlushing(this)
    endExchange()
}

private fun InputStream.copyFlushing(exchange: HttpServerExchange) {
    val buffer = ByteArray(COPY_BUFFER_BYTES)
    val output = exchange.outputStream
    while (true) {
        val count = read(buffer)
        if (count < 0) break
        output.write(buffer, 0, count)
        output.flush()
    }
    output.close()
}
