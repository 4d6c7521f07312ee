package lavendertrail.bill

import kotlinx.serialization.Serializable
import lavendertrail.model.AccountId
import lavendertrail.model.OwnerId
import lavendertrail.model.ProgramId
import lavendertrail.model.Usage

/** Usage of one program, without its sub-agents, which have lines of their own. */
@Serializable
public data class BillLine(
    public val program: ProgramId,
    public val owner: OwnerId?,
    public val account: AccountId?,
    public val calls: Int,
    public val usage: Usage,
)
