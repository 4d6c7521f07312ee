package lavendertrail.http

import javax.net.ssl.SSLContext

/** Address on which a server listens. Port 0 selects any free port. With [tls] the server accepts HTTPS only. */
public data class HttpBinding(
    public val ip: String,
    public val port: Int,
    public val tls: SSLContext? = null,
)
