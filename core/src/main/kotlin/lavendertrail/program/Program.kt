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
 * The state of one program, folded from its records. Records are folded when they are created, before they are durable;
 * the phase of a call and [durableRecords] determine what may be answered.
 *
 * Texts are kept for the last finished calls only, up to a limit per program: [recent] holds those calls, and
 * [evictedMessages] counts the messages before them, which [HistoryReader] reads from the journal. [keys] holds the
 * idempotency keys of a whole tree of programs at its root, as digests, which take less memory than callers' strings.
 * [lastRecord] has no content.
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
    val openRequestIds: List<Long> = emptyList(),
    val spend: Spend = Spend(),
    val nextPosition: Int = 0,
    val openCall: CallEntry? = null,
    val waiting: PersistentMap<Int, WaitingCall> = persistentHashMapOf(),
    val recent: PersistentMap<Int, CallEntry> = persistentHashMapOf(),
    val firstRecent: Int = 0,
    val recentTextBytes: Int = 0,
    val evictedMessages: Int = 0,
    val prompt: PromptSize = PromptSize(),
    val chain: PromptChain = PromptChain.EMPTY,
    val unresolved: PersistentMap<Int, UnresolvedUsage> = persistentHashMapOf(),
    val keys: PersistentMap<Digest, KeyUse> = persistentHashMapOf(),
    val liveChildren: PersistentSet<ProgramId> = persistentHashSetOf(),
    val ending: Ending? = null,
    val endedMillis: Long? = null,
    val endDurable: Boolean = false,
    val lastAnswerMillis: Long? = null,
)

/** The end of the program was requested; the requests [requestIds] wait for it. */
internal data class Ending(
    val reason: String,
    val requestIds: List<Long> = emptyList(),
)

/** Usage and reservations of a program and its sub-agents. */
internal data class Spend(
    val usage: Usage = Usage(),
    val turns: Int = 0,
    val reservedTokens: Long = 0,
    val reservedCostMicros: Long = 0,
)

/** The provisional charge of a call that may have run, until the call is settled. */
internal data class UnresolvedUsage(
    val key: String?,
    val target: String,
    val startedMillis: Long,
    val charged: Usage,
)

/**
 * Upper bounds of the history's length in tokens. [totalTokenBound] is computed from the bytes of all messages. For
 * [measuredModel], the model that ran last, the sum of the prompt length that it reported, [measuredTokens], and
 * [tokenBoundSinceMeasured], computed from the bytes of the messages since, is a tighter bound.
 */
internal data class PromptSize(
    val totalTokenBound: Long = 0,
    val measuredModel: ModelId? = null,
    val measuredTokens: Long = 0,
    val tokenBoundSinceMeasured: Long = 0,
)
