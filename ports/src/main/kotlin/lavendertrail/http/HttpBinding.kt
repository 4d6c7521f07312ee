package lavendertrail.http

import javax.net.ssl.SSLContext

/** Where a server listens. Port 0 takes any free port. With [tls] the server speaks HTTPS only. */
public data class HttpBinding(
    public val ip: String,
    public val port: Int,
    public val tls: SSLContext? = null,
)
