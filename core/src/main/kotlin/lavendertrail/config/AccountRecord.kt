package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.AccountId
import lavendertrail.model.OwnerId

/** A client account. [tokenSha256] lists the hex hashes of the bearer tokens its callers may use. */
@Serializable
public data class AccountRecord(
    public val account: AccountId,
    public val owner: OwnerId,
    public val weight: Int = 1,
    public val maxRunningCalls: Int = 64,
    public val tokenSha256: List<String> = emptyList(),
)
