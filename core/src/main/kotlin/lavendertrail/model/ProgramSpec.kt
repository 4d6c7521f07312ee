package lavendertrail.model

import kotlinx.serialization.Serializable

/** What a caller states when it opens a program. [deadlineMillis] is an absolute time in milliseconds since the epoch. */
@Serializable
public data class ProgramSpec(
    public val owner: OwnerId,
    public val account: AccountId,
    public val assistant: String,
    public val serviceClass: ServiceClass,
    public val budget: Budget,
    public val openKey: String? = null,
    public val deadlineMillis: Long? = null,
)
