package lavendertrail.http

import org.apache.hc.client5.http.ConnectTimeoutException
import org.apache.hc.client5.http.HttpHostConnectException
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase
import org.apache.hc.client5.http.config.ConnectionConfig
import org.apache.hc.client5.http.config.RequestConfig
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient
import org.apache.hc.client5.http.impl.classic.HttpClients
import org.apache.hc.client5.http.impl.io.DefaultHttpResponseParserFactory
import org.apache.hc.client5.http.impl.io.ManagedHttpClientConnectionFactory
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder
import org.apache.hc.client5.http.protocol.HttpClientContext
import org.apache.hc.core5.http.ClassicHttpResponse
import org.apache.hc.core5.http.ConnectionRequestTimeoutException
import org.apache.hc.core5.http.HttpException
import org.apache.hc.core5.http.HttpHost
import org.apache.hc.core5.http.io.SocketConfig
import org.apache.hc.core5.http.io.entity.ByteArrayEntity
import org.apache.hc.core5.pool.PoolConcurrencyPolicy
import org.apache.hc.core5.util.TimeValue
import org.apache.hc.core5.util.Timeout
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.net.SocketTimeoutException
import java.net.URI
import java.net.UnknownHostException

/**
 * Limits of a client. [idleMillis] is the longest time without a byte from the server. With [reuseConnections] false each
 * request opens a new connection. A pooled connection that was unused for [validateAfterMillis] is validated before use,
 * which takes about 1 ms.
 */
public data class HttpClientLimits(
    public val connectMillis: Long = 1_000,
    public val idleMillis: Long = 30_000,
    public val maxConnections: Int = 4_096,
    public val validateAfterMillis: Long = 1_000,
    public val reuseConnections: Boolean = true,
)

/** Name of a request header that [httpClient] reads as the idle limit of the request and does not send. */
private const val IDLE_LIMIT_HEADER = "x-lavendertrail-idle-limit-millis"

/** Sets the longest time without a byte from the server for this request. */
public fun Request.withIdleLimit(millis: Long): Request = replaceHeader(IDLE_LIMIT_HEADER, millis.coerceAtLeast(1).toString())

/**
 * An http4k client whose response bodies are streams; each must be closed. Closing a body before its end closes the
 * connection immediately, even while another thread reads from it. A request is never sent twice; a request without a
 * response throws an [HttpCallException]. The client library is used here and in WholeHeadParser.kt only.
 */
public fun httpClient(limits: HttpClientLimits = HttpClientLimits()): HttpHandler {
    val client = apacheClient(limits)
    val defaultConfig = requestConfig(limits, limits.idleMillis)
    return { request ->
        val idleMillis = request.header(IDLE_LIMIT_HEADER)?.toLong()
        val context = HttpClientContext.create()
        context.requestConfig = if (idleMillis == null) defaultConfig else requestConfig(limits, idleMillis)
        val apacheRequest = request.toApache()
        client.open(apacheRequest, context).toResponse(onAbort = { apacheRequest.cancel() })
    }
}

private fun apacheClient(limits: HttpClientLimits): CloseableHttpClient {
    val connections =
        PoolingHttpClientConnectionManagerBuilder
            .create()
            .setConnectionFactory(
                ManagedHttpClientConnectionFactory
                    .builder()
                    .responseParserFactory(wholeHeadParsers(DefaultHttpResponseParserFactory.INSTANCE))
                    .build(),
            ).setPoolConcurrencyPolicy(PoolConcurrencyPolicy.LAX)
            .setMaxConnTotal(limits.maxConnections)
            .setMaxConnPerRoute(limits.maxConnections)
            .setDefaultSocketConfig(
                SocketConfig
                    .custom()
                    .setSoTimeout(Timeout.ofMilliseconds(limits.idleMillis))
                    .setTcpNoDelay(true)
                    .build(),
            ).setDefaultConnectionConfig(
                ConnectionConfig
                    .custom()
                    .setConnectTimeout(Timeout.ofMilliseconds(limits.connectMillis))
                    .setSocketTimeout(Timeout.ofMilliseconds(limits.idleMillis))
                    .setValidateAfterInactivity(TimeValue.ofMilliseconds(limits.validateAfterMillis))
                    .build(),
            ).build()
    val builder =
        HttpClients
            .custom()
            .setConnectionManager(connections)
            .disableAutomaticRetries()
            .disableRedirectHandling()
            .disableCookieManagement()
            .disableAuthCaching()
            .disableContentCompression()
    if (!limits.reuseConnections) builder.setConnectionReuseStrategy { _, _, _ -> false }
    return builder.build()
}

private fun requestConfig(
    limits: HttpClientLimits,
    idleMillis: Long,
): RequestConfig =
    RequestConfig
        .custom()
        .setConnectionRequestTimeout(Timeout.ofMilliseconds(limits.connectMillis))
        .setResponseTimeout(Timeout.ofMilliseconds(idleMillis))
        .build()

private fun CloseableHttpClient.open(
    request: HttpUriRequestBase,
    context: HttpClientContext,
): ClassicHttpResponse {
    val target = request.authority.toString()
    return try {
        executeOpen(HttpHost(request.scheme, request.authority), request, context)
    } catch (e: IOException) {
        throw e.toCallException(target)
    } catch (e: HttpException) {
        throw HttpCallException("$target sent no valid HTTP response: ${e.message}", e, sent = true, timedOut = false)
    }
}

/** Only an error while connecting proves that nothing was sent. */
private fun IOException.toCallException(target: String): HttpCallException =
    when (this) {
        is ConnectTimeoutException -> HttpCallException("connecting to $target timed out", this, sent = false, timedOut = true)
        is HttpHostConnectException -> HttpCallException("$target refused the connection", this, sent = false, timedOut = false)
        is UnknownHostException -> HttpCallException("host name of $target could not be resolved", this, sent = false, timedOut = false)
        is ConnectionRequestTimeoutException ->
            HttpCallException("no free connection to $target in the pool within the connect timeout", this, sent = false, timedOut = true)
        is SocketTimeoutException -> HttpCallException("$target sent nothing within the idle limit", this, sent = true, timedOut = true)
        else -> HttpCallException("connection to $target failed: $message", this, sent = true, timedOut = false)
    }

private fun Request.toApache(): HttpUriRequestBase {
    val request = HttpUriRequestBase(method.name, URI.create(uri.toString()))
    headers.forEach { (name, value) ->
        if (!name.equals("content-length", ignoreCase = true) && name != IDLE_LIMIT_HEADER) request.addHeader(name, value)
    }
    val payload = body.payload
    if (payload.hasRemaining()) {
        request.entity = ByteArrayEntity(payload.array(), payload.arrayOffset() + payload.position(), payload.remaining(), null)
    }
    return request
}

private fun ClassicHttpResponse.toResponse(onAbort: () -> Unit): Response {
    val content = entity?.content
    val withoutBody = Response(Status(code, reasonPhrase)).headers(headers.map { it.name to it.value })
    if (content == null) {
        close()
        return withoutBody
    }
    return withoutBody.body(Body(ResponseStream(content, onAbort), entity.contentLength.takeIf { it >= 0 }))
}
