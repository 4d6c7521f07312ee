package lavendertrail.serving

/** A service that receives a share of a route's requests in proportion to [weight]. */
public data class RouteTarget(
    val service: String,
    val weight: Int,
)
