package lavendertrail.adapters

import lavendertrail.http.HttpClientLimits
import lavendertrail.http.httpClient
import org.http4k.core.HttpHandler

/** One connection pool for all adapters of a process that bring no client of their own. */
internal object SharedClients {
    val pooled: HttpHandler by lazy { httpClient() }

    /**
     * Opens a connection for each request. It tells a stalled connection from a stalled peer, and it serves calls that
     * must not run twice: over a pooled connection that the server has just closed, it would stay unknown whether such a
     * call has run. The price is one round trip per call.
     */
    val fresh: HttpHandler by lazy { httpClient(HttpClientLimits(reuseConnections = false)) }
}
