package lavendertrail.reducer

import kotlinx.serialization.Serializable
import lavendertrail.history.HistoryRecord
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.CallResult
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.model.ProgramSpec
import lavendertrail.model.Refusal
import lavendertrail.model.RunOutcome
import lavendertrail.model.Usage

/**
 * A caller's request to open a program, forwarded to the owner node. As in the requests below, [requestId] identifies the
 * waiting request at the runner; exactly one of [AnswerCall], [AnswerOpened], [AnswerEnded], [AnswerHistory] or [RefuseRequest] answers it.
 */
@Serializable
public data class ProgramOpenRequested(
    public val requestId: Long,
    public val program: ProgramId,
    public val spec: ProgramSpec,
) : Event

/** Opens a sub-agent of [parent]; its budget limits apply inside the parent's. */
@Serializable
public data class ChildOpenRequested(
    public val requestId: Long,
    public val parent: ProgramId,
    public val childNumber: Int,
    public val spec: ProgramSpec,
) : Event

@Serializable
public data class CallSubmitted(
    public val requestId: Long,
    public val request: CallRequest,
) : Event

/** The caller of [requestId] disconnected; the call itself continues. */
@Serializable
public data class CallerGone(
    public val requestId: Long,
) : Event

@Serializable
public data class ProgramEndRequested(
    public val requestId: Long,
    public val program: ProgramId,
    public val reason: String,
) : Event

@Serializable
public data class HistoryRequested(
    public val requestId: Long,
    public val program: ProgramId,
) : Event

/** An operator settles a call that may have run. */
@Serializable
public data class SettleRequested(
    public val requestId: Long,
    public val call: CallId,
    public val outcome: RunOutcome,
    public val usage: Usage,
    public val settledBy: String,
) : Event

/** All records of an [AppendHistory] are on both journal copies. */
@Serializable
public data class HistoryAppended(
    public val partition: PartitionId,
    public val epoch: Long,
    public val appendId: Long,
) : Event

/**
 * An append didn't reach both copies. [fenced] is true where a journal node has seen a higher epoch; otherwise
 * [journalNode] is the one that failed, and the append is being retried.
 */
@Serializable
public data class HistoryAppendFailed(
    public val partition: PartitionId,
    public val epoch: Long,
    public val appendId: Long,
    public val fenced: Boolean,
    public val message: String,
    public val journalNode: NodeId? = null,
) : Event

/** Appends [records] to the partition's journal, in the order of the appends. */
public data class AppendHistory(
    public val partition: PartitionId,
    public val epoch: Long,
    public val appendId: Long,
    public val records: List<HistoryRecord>,
) : Effect

public data class AnswerOpened(
    public val requestId: Long,
    public val program: ProgramId,
) : Effect

/** The final outcome of a call. For a streamed call the text sent before is a prefix of the answer's text. */
public data class AnswerCall(
    public val requestId: Long,
    public val call: CallId,
    public val result: CallResult,
) : Effect

/** Attaches a caller to the stream of a call that is already running. */
public data class AttachStream(
    public val requestId: Long,
    public val call: CallId,
) : Effect

public data class AnswerEnded(
    public val requestId: Long,
    public val program: ProgramId,
    public val total: Usage,
) : Effect

/**
 * The first [recordCount] records of the program. Where [records] has fewer, the runner reads them from the journal: the
 * reducer keeps no full texts.
 */
public data class AnswerHistory(
    public val requestId: Long,
    public val program: ProgramId,
    public val records: List<HistoryRecord>,
    public val recordCount: Int = records.size,
) : Effect

/**
 * Answers like [AnswerCall] with an outcome that is no longer in memory: the runner reads the first [recordCount] records
 * of the program from the journal and calls [lavendertrail.program.storedAnswer]. [bodySha256] is null where the body was
 * compared already.
 */
public data class AnswerFromHistory(
    public val requestId: Long,
    public val call: CallId,
    public val bodySha256: String?,
    public val recordCount: Int,
) : Effect

/** Refuses a request that is not a call, or a call that was not started. */
public data class RefuseRequest(
    public val requestId: Long,
    public val refusal: Refusal,
) : Effect

/** The start of a call is durable; dispatch may send it. Raised by the program reducer. */
@Serializable
public data class DispatchRequested(
    public val call: DispatchCall,
) : Signal

/** Dispatch has finished a call, including all retries. */
@Serializable
public data class DispatchFinished(
    public val call: CallId,
    public val result: CallResult,
    public val attempts: Int,
) : Signal

/** The call is no longer wanted: its program ended or its deadline passed. */
@Serializable
public data class DispatchCancelled(
    public val call: CallId,
) : Signal

/** A tool call started, so the program's model cache is idle until [ProgramResumed]. */
@Serializable
public data class ProgramPaused(
    public val program: ProgramId,
    public val tool: String,
) : Signal

@Serializable
public data class ProgramResumed(
    public val program: ProgramId,
    public val tool: String,
    public val pausedMillis: Long,
) : Signal

/** The program has ended, expired, or moved to another node ([moved]). */
@Serializable
public data class ProgramGone(
    public val program: ProgramId,
    public val moved: Boolean,
) : Signal
