package lavendertrail.model

import kotlinx.serialization.Serializable

/**
 * Why a call has no answer. [outcome] states whether it was executed; [retryAfterMillis] is null where a retry
 * can't succeed. [step] and [peer] tell where the refusal arose.
 */
@Serializable
public data class Refusal(
    public val outcome: RunOutcome,
    public val reason: RefusalReason,
    public val message: String,
    public val retryAfterMillis: Long? = null,
    public val step: String,
    public val peer: String? = null,
)
