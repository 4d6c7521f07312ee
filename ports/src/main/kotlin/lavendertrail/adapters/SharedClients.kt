package lavendertrail.adapters

import lavendertrail.http.HttpClientLimits
import lavendertrail.http.httpClient
import org.http4k.core.HttpHandler

/** One connection pool for all adapters of a process that bring no client of their own. */
internal object SharedClients {
    val pooled: HttpHandler by lazy { httpClient() }

    /** Opens a connection for each request; tells a stalled connection from a stalled peer. */
    val fresh: HttpHandler by lazy { httpClient(HttpClientLimits(reuseConnections = false)) }

    /**
     * For calls that must not be sent twice: a pooled connection is checked before nearly every use, because one that
     * the server has closed meanwhile would leave it unknown whether the call has run.
     */
    val checked: HttpHandler by lazy { httpClient(HttpClientLimits(validateAfterMillis = 50)) }
}
