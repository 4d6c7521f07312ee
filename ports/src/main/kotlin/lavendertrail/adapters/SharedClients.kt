package lavendertrail.adapters

import lavendertrail.http.HttpClientLimits
import lavendertrail.http.httpClient
import org.http4k.core.HttpHandler

/** HTTP clients for adapters created without their own client; all such adapters in a process share the connection pool of [pooled]. */
internal object SharedClients {
    val pooled: HttpHandler by lazy { httpClient() }

    /**
     * Opens a new connection for each request. This distinguishes a stalled connection from a stalled peer. It is also used for
     * calls that must not run twice: if the server closes a pooled connection just as such a call is sent, it is unknown whether
     * the call has run. The cost is one additional round trip per call.
     */
    val unpooled: HttpHandler by lazy { httpClient(HttpClientLimits(reuseConnections = false)) }
}
