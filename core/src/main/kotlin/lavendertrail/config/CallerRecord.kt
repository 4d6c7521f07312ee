package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.AccountId

/** A caller that acts for [account], identified by the hex hashes of its bearer tokens. */
@Serializable
public data class CallerRecord(
    public val caller: String,
    public val account: AccountId,
    public val tokenSha256: List<String>,
)
