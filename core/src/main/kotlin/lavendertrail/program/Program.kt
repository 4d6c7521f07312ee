package lavendertrail.program

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import lavendertrail.history.HistoryRecord
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.model.ProgramSpec
import lavendertrail.model.Usage

/**
 * One program as folded from its records. Records are folded when they are created; what may be answered follows from
 * the phase of a call and from [durableRecords].
 *
 * Texts are kept for the last finished calls only, up to a limit per program: [recent] holds those calls, and
 * [forgottenMessages] counts the messages before them, which [HistoryReader] reads from the journal. [keys] is kept at the
 * root of a tree, by digest, which takes less memory than callers' strings. [lastRecord] has no content.
 */
internal data class Program(
    val id: ProgramId,
    val spec: ProgramSpec,
    val parent: ProgramId?,
    val depth: Int,
    val openedMillis: Long,
    val deadlineMillis: Long,
    val lastRecord: HistoryRecord,
    val durableRecords: Int = 0,
    val openers: List<Long> = emptyList(),
    val spend: Spend = Spend(),
    val nextPosition: Int = 0,
    val open: CallEntry? = null,
    val waiting: PersistentMap<Int, WaitingCall> = persistentHashMapOf(),
    val recent: PersistentMap<Int, CallEntry> = persistentHashMapOf(),
    val firstRecent: Int = 0,
    val recentTextBytes: Int = 0,
    val forgottenMessages: Int = 0,
    val prompt: PromptSize = PromptSize(),
    val chain: PromptChain = PromptChain.EMPTY,
    val unresolved: PersistentMap<Int, UnresolvedUse> = persistentHashMapOf(),
    val keys: PersistentMap<Digest, KeyUse> = persistentHashMapOf(),
    val liveChildren: PersistentSet<ProgramId> = persistentHashSetOf(),
    val ending: Ending? = null,
    val endedMillis: Long? = null,
    val endDurable: Boolean = false,
    val lastAnswerMillis: Long? = null,
)

/** The end was asked for; [requests] wait for it. */
internal data class Ending(
    val reason: String,
    val requests: List<Long> = emptyList(),
)

/** Use and reservations of a program and its sub-agents. */
internal data class Spend(
    val usage: Usage = Usage(),
    val turns: Int = 0,
    val reservedTokens: Long = 0,
    val reservedCostMicros: Long = 0,
)

/** What was charged for a call that may have run, until it is settled. */
internal data class UnresolvedUse(
    val key: String?,
    val target: String,
    val startedMillis: Long,
    val charged: Usage,
)

/**
 * Upper bounds of the history's length in tokens: [boundAll] from the bytes of all messages, and, for the model that ran
 * last, what it reported as [measuredTokens] plus [boundSince] from the bytes of the messages since.
 */
internal data class PromptSize(
    val boundAll: Long = 0,
    val measuredModel: ModelId? = null,
    val measuredTokens: Long = 0,
    val boundSince: Long = 0,
)
