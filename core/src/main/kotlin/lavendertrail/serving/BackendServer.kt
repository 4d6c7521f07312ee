package lavendertrail.serving

import lavendertrail.membership.mix
import lavendertrail.membership.stableHash
import lavendertrail.model.FailureDomain

/** A backend server as registered in the list of servers. [id] changes with each start of the server. */
public data class BackendServer(
    val id: String,
    val service: String,
    val address: String,
    val failureDomain: FailureDomain,
    val slots: Int,
    val isDraining: Boolean,
    val slowStartRemainingMillis: Long = 0,
    /** Distinguishes two starts under the same id; null where the server doesn't report it. */
    val startedEpochMillis: Long? = null,
    /** Servers of several versions may serve a service side by side. A stream that one of them began fits no other version. */
    val softwareVersion: String = "",
) {
    internal val homeSeed: Long = mix(stableHash(id))
}
