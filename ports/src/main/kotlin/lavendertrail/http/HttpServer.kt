package lavendertrail.http

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpServerExchange
import io.undertow.util.HttpString
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.MemoryRequest
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Uri
import java.io.InputStream
import java.net.InetSocketAddress

/** A running HTTP server. [stop] waits for nothing; callers drain before. */
public interface HttpServer : AutoCloseable {
    public val port: Int

    public fun stop()

    override fun close(): Unit = stop()
}

/** Limits that hold for every request. */
public data class HttpServerLimits(
    public val maxBodyBytes: Long = 8L * 1024 * 1024,
    public val maxHeaderBytes: Int = 32 * 1024,
    public val readTimeoutMillis: Int = 30_000,
    public val workerThreads: Int = 320,
)

private const val COPY_BUFFER_BYTES = 8 * 1024

/**
 * Starts an HTTP server for [handler]. This is the one place that names the server library. Body streams are flushed
 * after each read, so that events reach the client as they are produced.
 */
public fun httpServer(
    binding: HttpBinding,
    limits: HttpServerLimits = HttpServerLimits(),
    handler: HttpHandler,
): HttpServer {
    val undertow =
        Undertow
            .builder()
            .addHttpListener(binding.port, binding.ip)
            .setWorkerThreads(limits.workerThreads)
            .setIoThreads(2)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.readTimeoutMillis)
            .setSocketOption(org.xnio.Options.READ_TIMEOUT, limits.readTimeoutMillis)
            .setSocketOption(org.xnio.Options.TCP_NODELAY, true)
            .setHandler { exchange -> exchange.dispatch(Runnable { exchange.serve(handler) }) }
            .build()
    undertow.start()
    return object : HttpServer {
        override val port: Int = (undertow.listenerInfo.first().address as InetSocketAddress).port

        override fun stop() = undertow.stop()
    }
}

private fun HttpServerExchange.serve(handler: HttpHandler) {
    startBlocking()
    val method = Method.entries.find { it.name == requestMethod.toString() }
    val response = if (method == null) Response(org.http4k.core.Status.METHOD_NOT_ALLOWED) else handler(toRequest(method))
    response.use { send(it) }
    endExchange()
}

private fun HttpServerExchange.toRequest(method: Method): Request {
    val query = if (queryString.isNullOrEmpty()) "" else "?$queryString"
    val headers = requestHeaders.flatMap { values -> values.map { values.headerName.toString() to it } }
    val body = Body(inputStream, requestContentLength.takeIf { it >= 0 })
    return MemoryRequest(method, Uri.of(requestPath + query), headers, body)
}

private fun HttpServerExchange.send(response: Response) {
    statusCode = response.status.code
    response.headers.forEach { (name, value) -> responseHeaders.add(HttpString(name), value.orEmpty()) }
    val length = response.body.length
    if (length != null) responseContentLength = length
    response.body.stream.copyFlushing(this)
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
