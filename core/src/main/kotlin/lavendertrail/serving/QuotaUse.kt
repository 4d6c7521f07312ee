package lavendertrail.serving

import kotlinx.serialization.Serializable

/**
 * What an entry host reports about its credit of one account, and what it asks for. [configVersion] is that of the configuration
 * that states the limit. [spentRequests] counts all requests that were sent since the host has held credit of the account.
 */
@Serializable
public data class QuotaUse(
    val account: String,
    val requestsPerSecond: Double,
    val burstRequests: Double,
    val configVersion: Long,
    val spentRequests: Long,
    /** Credit that the host can still spend. */
    val heldRequests: Int,
    /** Credit for requests that wait for it. */
    val neededRequests: Int,
    /** Credit for requests to come. */
    val aheadRequests: Int,
)

/**
 * [retryMillis] is the time until the account has credit, for an entry host that got less than it needs. [mayWait] tells whether the
 * granter has too little only because it has just started.
 */
@Serializable
public data class QuotaGrant(
    val account: String,
    val grantedRequests: Int,
    val retryMillis: Long,
    val mayWait: Boolean = false,
    /** Credit that the granter has left. */
    val leftRequests: Int = 0,
)
