package lavendertrail.model

import kotlinx.serialization.Serializable

/**
 * A caller's request for one call. [key] is required where [repeatable] is false: it names the call for good, and a
 * request with the same key gets the first outcome.
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
        require(repeatable || key != null) { "call $call must not repeat and so needs a key" }
    }
}
