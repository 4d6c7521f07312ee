package lavendertrail.model

import kotlinx.serialization.Serializable

/**
 * A caller's request for one call. [key] is the call's idempotency key, required where [repeatable] is false: a
 * later request with the same key gets the outcome of the first.
 */
@Serializable
public data class CallRequest(
    public val call: CallId,
    public val account: AccountId,
    public val body: CallBody,
    public val repeatable: Boolean,
    public val key: String? = null,
    public val deadlineMillis: Long,
) {
    init {
        require(repeatable || key != null) { "call $call is not repeatable and needs a key" }
    }
}
