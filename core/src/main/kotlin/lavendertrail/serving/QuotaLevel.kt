package lavendertrail.serving

import kotlinx.serialization.Serializable

/** Credit of an account at an entry host, for the state dump; [leftRequests] is what the granter had left when it last answered. */
@Serializable
public data class QuotaLevel(
    val heldRequests: Int,
    val waitingRequests: Int,
    val leftRequests: Int,
)
