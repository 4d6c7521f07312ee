package lavendertrail.membership

import kotlinx.serialization.Serializable
import lavendertrail.model.NodeId
import lavendertrail.reducer.PoisonMark

/** State that two nodes exchange with each probe, in both directions. */
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

/** States that [observer] could not reach this [incarnation] of [node] as of [ageMillis] ago. */
@Serializable
public data class Suspicion(
    public val node: NodeId,
    public val incarnation: Long,
    public val observer: NodeId,
    public val ageMillis: Long,
)

/** Number of running and waiting calls of an account at the sender, for limits that apply across nodes. */
@Serializable
public data class AccountShare(
    public val account: String,
    public val runningCalls: Int,
    public val waitingCalls: Int,
)
