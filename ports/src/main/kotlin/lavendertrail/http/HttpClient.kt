package lavendertrail.http

import org.apache.hc.client5.http.config.ConnectionConfig
import org.apache.hc.client5.http.config.RequestConfig
import org.apache.hc.client5.http.impl.classic.HttpClients
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder
import org.apache.hc.core5.http.io.SocketConfig
import org.apache.hc.core5.util.TimeValue
import org.apache.hc.core5.util.Timeout
import org.http4k.client.ApacheClient
import org.http4k.core.BodyMode
import org.http4k.core.HttpHandler

/** Time limits of a client. [idleMillis] is the longest time without a byte from the server. */
public data class HttpClientLimits(
    public val connectMillis: Long = 1_000,
    public val idleMillis: Long = 30_000,
    public val maxConnections: Int = 1_024,
)

/** An http4k client whose response bodies are streams; each must be closed. This is the one place that names the client library. */
public fun httpClient(limits: HttpClientLimits = HttpClientLimits()): HttpHandler {
    val connections =
        PoolingHttpClientConnectionManagerBuilder
            .create()
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
                    .setValidateAfterInactivity(TimeValue.ofSeconds(1))
                    .build(),
            ).build()
    val client =
        HttpClients
            .custom()
            .setConnectionManager(connections)
            .disableAutomaticRetries()
            .disableRedirectHandling()
            .disableCookieManagement()
            .setDefaultRequestConfig(RequestConfig.custom().setResponseTimeout(Timeout.ofMilliseconds(limits.idleMillis)).build())
            .build()
    return ApacheClient(client, responseBodyMode = BodyMode.Stream)
}
