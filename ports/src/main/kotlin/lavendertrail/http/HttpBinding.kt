package lavendertrail.http

/** Where a server listens. Port 0 takes any free port. */
public data class HttpBinding(
    public val ip: String,
    public val port: Int,
)
