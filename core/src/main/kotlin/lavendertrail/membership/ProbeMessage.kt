package lavendertrail.membership

import kotlinx.serialization.Serializable
import lavendertrail.model.NodeId
import lavendertrail.reducer.PoisonMark

/** Exchanged between two nodes in both directions by each probe. */
@Serializable
public data class ProbeMessage(
    public val from: NodeId,
    public val incarnation: Long,
    public val leaving: Boolean,
    public val configRevision: Long,
    public val suspects: List<Suspicion>,
    public val poisonMarks: List<PoisonMark> = emptyList(),
    public val accountShares: List<AccountShare> = emptyList(),
    public val nodeRecord: NodeRecord? = null,
)

/** [observer] can't reach [node] in this [incarnation]; it said so [ageMillis] ago. */
@Serializable
public data class Suspicion(
    public val node: NodeId,
    public val incarnation: Long,
    public val observer: NodeId,
    public val ageMillis: Long,
)

/** Calls of an account that run at the sender, for limits that span nodes. */
@Serializable
public data class AccountShare(
    public val account: String,
    public val runningCalls: Int,
    public val waitingCalls: Int,
)
