package lavendertrail.serving

import lavendertrail.model.FailureDomain

/** What a backend server says of itself in the list of servers. [id] is new with each start of the server. */
public data class BackendServer(
    val id: String,
    val service: String,
    val address: String,
    val failureDomain: FailureDomain,
    val slots: Int,
    val isDraining: Boolean,
    val slowStartRemainingMillis: Long = 0,
    /** Tells two starts under the same id apart; null where the server doesn't say. */
    val startedEpochMillis: Long? = null,
)
