package lavendertrail.program

import kotlinx.serialization.Serializable
import lavendertrail.model.AccountId
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.Message
import lavendertrail.model.OwnerId
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.Usage
import lavendertrail.reducer.NodeState

/** The entry of one program in the state dump. Usage and reservations include the sub-agents. */
@Serializable
public data class ProgramSummary(
    public val program: ProgramId,
    public val owner: OwnerId,
    public val account: AccountId,
    public val parent: ProgramId?,
    public val openedMillis: Long,
    public val deadlineMillis: Long,
    public val ending: String?,
    public val endedMillis: Long?,
    public val nextPosition: Int,
    public val waitingCalls: Int,
    public val openCall: CallSummary?,
    public val usage: Usage,
    public val turns: Int,
    public val reservedTokens: Long,
    public val reservedCostMicros: Long,
    public val durableRecords: Int,
    public val keptTextBytes: Int,
)

/** Timestamps and outcome of one call. A timestamp is null if the call has not reached that step, or reached it at a former owner. */
@Serializable
public data class CallSummary(
    public val call: CallId,
    public val phase: String,
    public val kind: String,
    public val target: String,
    public val key: String?,
    public val repeatable: Boolean,
    public val recovered: Boolean,
    public val submittedMillis: Long,
    public val durableMillis: Long?,
    public val dispatchedMillis: Long?,
    public val finishedMillis: Long?,
    public val outcome: RunOutcome?,
    public val refusal: RefusalReason?,
    public val usage: Usage?,
    public val waitingRequests: Int,
)

/** A call that may have run and is not settled. [charged] is charged to its program until then. */
@Serializable
public data class UnresolvedCall(
    public val call: CallId,
    public val key: String?,
    public val target: String,
    public val startedMillis: Long,
    public val charged: Usage,
)

/** The entry of one partition that this node owns in the state dump. */
@Serializable
public data class PartitionSummary(
    public val partition: PartitionId,
    public val epoch: Long,
    public val draining: Boolean,
    public val appendFailure: String?,
    public val pendingAppends: Int,
    public val openCalls: Int,
    public val programs: Int,
    public val forgottenPrograms: Int,
    public val damaged: Map<ProgramId, String>,
)

/** Default limit of the lists below, which keeps a state dump readable. */
public const val DEFAULT_VIEW_LIMIT: Int = 1_000

public fun NodeState.partitionSummaries(): List<PartitionSummary> =
    programs.partitions.entries.sortedBy { it.key }.map { (id, partition) ->
        PartitionSummary(
            partition = id,
            epoch = partition.epoch,
            draining = partition.draining,
            appendFailure = partition.appendFailure,
            pendingAppends = partition.pending.size,
            openCalls = partition.openCalls,
            programs = partition.programs.size,
            forgottenPrograms = partition.evicted.size,
            damaged = partition.damaged,
        )
    }

public fun NodeState.programSummaries(limit: Int = DEFAULT_VIEW_LIMIT): List<ProgramSummary> =
    programs.programs.values
        .sortedBy { it.id.value }
        .take(limit)
        .map(Program::summary)

public fun NodeState.programSummary(program: ProgramId): ProgramSummary? = programs.programs[program]?.summary()

/** The last finished calls and the open call of a program, ordered by position. Older calls are in the journal only. */
public fun NodeState.callSummaries(program: ProgramId): List<CallSummary> {
    val known = programs.programs[program] ?: return emptyList()
    return (known.recent.values + listOfNotNull(known.openCall)).sortedBy { it.position }.map { it.summary(program) }
}

public fun NodeState.unresolvedCalls(limit: Int = DEFAULT_VIEW_LIMIT): List<UnresolvedCall> =
    programs.programs.values
        .filter { it.unresolved.isNotEmpty() }
        .sortedBy { it.id.value }
        .flatMap(Program::unresolvedCalls)
        .take(limit)

/** Whether this node owns [program]'s partition. */
public fun NodeState.ownsPartitionOf(program: ProgramId): Boolean = program.partition in programs.partitions

/** Live programs of this node, for the pin sweep. */
public fun NodeState.livePrograms(): Set<ProgramId> =
    programs.programs.values
        .filter { it.endedMillis == null }
        .mapTo(mutableSetOf()) { it.id }

/**
 * The full prompt of the open model call [call]: the program's history and the new messages. [reader] is used only if older
 * messages are no longer in memory. The list is empty if the call is not open or is not a model call.
 */
public fun NodeState.promptMessages(
    call: CallId,
    reader: HistoryReader,
): List<Message> {
    val program = programs.programs[call.program] ?: return emptyList()
    val body = program.openCall?.takeIf { it.position == call.position }?.body as? CallBody.ModelCall ?: return emptyList()
    return program.historyMessages(reader) + body.messages
}

private fun Program.historyMessages(reader: HistoryReader): List<Message> {
    val kept = recent.values.sortedBy { it.position }.flatMap { it.messages }
    if (evictedMessages == 0) return kept
    return historyMessages(reader.records(id)).take(evictedMessages) + kept
}

private fun Program.unresolvedCalls(): List<UnresolvedCall> =
    unresolved.entries.sortedBy { it.key }.map { (position, use) ->
        UnresolvedCall(CallId(id, position), use.key, use.target, use.startedMillis, use.charged)
    }

private fun Program.summary(): ProgramSummary =
    ProgramSummary(
        program = id,
        owner = spec.owner,
        account = spec.account,
        parent = parent,
        openedMillis = openedMillis,
        deadlineMillis = deadlineMillis,
        ending = ending?.reason,
        endedMillis = endedMillis,
        nextPosition = nextPosition,
        waitingCalls = waiting.size,
        openCall = openCall?.summary(id),
        usage = spend.usage,
        turns = spend.turns,
        reservedTokens = spend.reservedTokens,
        reservedCostMicros = spend.reservedCostMicros,
        durableRecords = durableRecords,
        keptTextBytes = recentTextBytes,
    )

private fun CallEntry.summary(program: ProgramId): CallSummary {
    val refusal = (result as? CallResult.Refused)?.refusal
    return CallSummary(
        call = CallId(program, position),
        phase = phase.name.lowercase(),
        kind = kind,
        target = target,
        key = key,
        repeatable = repeatable,
        recovered = recovered,
        submittedMillis = submittedMillis,
        durableMillis = durableMillis,
        dispatchedMillis = dispatchedMillis,
        finishedMillis = finishedMillis,
        outcome = result?.let { refusal?.outcome ?: RunOutcome.RUN },
        refusal = refusal?.reason,
        usage = (result as? CallResult.Answered)?.usage,
        waitingRequests = waiters.size,
    )
}
