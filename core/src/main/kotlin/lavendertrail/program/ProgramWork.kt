package lavendertrail.program

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.history.nextRecord
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.reducer.AnswerCall
import lavendertrail.reducer.AppendHistory
import lavendertrail.reducer.Effect
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.RefuseRequest
import lavendertrail.reducer.Signal
import lavendertrail.reducer.Step

/**
 * Mutable context of one step of the program reducer: the new state and the effects and signals so far. It is created for one
 * step and discarded after it, so [reducePrograms] stays pure. All records of a partition in one step go into one append.
 */
internal class ProgramWork(
    private val node: NodeState,
    val nowMillis: Long,
) {
    var state: ProgramsState = node.programs
    val effects = mutableListOf<Effect>()
    val signals = mutableListOf<Signal>()
    val settings get() = node.settings.programs
    val config get() = node.config
    private val records = linkedMapOf<PartitionId, MutableList<HistoryRecord>>()
    private val acknowledgements = linkedMapOf<PartitionId, MutableList<Acknowledgement>>()

    fun program(id: ProgramId): Program? = state.programs[id]

    fun partition(id: ProgramId): PartitionPrograms? = state.partitions[id.partition]

    /** Whether this node's dispatch already runs [call], as after a move of the partition's journal without a change of owner. */
    fun isDispatched(call: CallId): Boolean = call in node.dispatch.core.calls

    fun updateProgram(
        program: ProgramId,
        change: (Program) -> Program,
    ) {
        state = state.updateProgram(program, change)
    }

    fun updatePartition(
        partition: PartitionId,
        change: (PartitionPrograms) -> PartitionPrograms,
    ) {
        state = state.updatePartition(partition, change)
    }

    fun addTimer(
        dueMillis: Long,
        timer: Timer,
    ) {
        state = state.copy(timers = state.timers.plus(dueMillis, timer))
    }

    /** Creates and folds the next record of [program]. [acknowledgement] is handled once both journal copies have the record. */
    fun appendRecord(
        program: ProgramId,
        payload: HistoryPayload,
        acknowledgement: Acknowledgement,
        content: String = "",
        body: CallBody? = null,
    ) {
        val epoch = checkNotNull(partition(program)) { "the partition of $program is not held by this node" }.epoch
        val record = nextRecord(program(program)?.lastRecord, program, epoch, nowMillis, payload, content)
        state = state.fold(record, settings, body)
        records.getOrPut(program.partition) { mutableListOf() } += record
        acknowledgements.getOrPut(program.partition) { mutableListOf() } += acknowledgement
    }

    /** Whether this step has created records of [partition], which are appended at its end. */
    fun hasRecords(partition: PartitionId): Boolean = partition in records

    /** Discards the records that this step has created for [partition] and not yet appended. */
    fun discardRecords(partition: PartitionId) {
        records -= partition
        acknowledgements -= partition
    }

    fun refusal(
        outcome: RunOutcome,
        reason: RefusalReason,
        message: String,
        step: String,
        retryAfterMillis: Long? = null,
    ): Refusal = Refusal(outcome, reason, message, retryAfterMillis, step, node.self.node.value)

    fun refuse(
        requestId: Long,
        refusal: Refusal,
    ) {
        removeRequest(requestId)
        effects += RefuseRequest(requestId, refusal)
    }

    fun answer(
        requestId: Long,
        call: CallId,
        result: CallResult,
    ) {
        removeRequest(requestId)
        effects += AnswerCall(requestId, call, result)
    }

    fun removeRequest(requestId: Long) {
        state = state.copy(callByRequestId = state.callByRequestId.remove(requestId))
    }

    fun addRequest(
        requestId: Long,
        call: CallId,
    ) {
        state = state.copy(callByRequestId = state.callByRequestId.put(requestId, call))
    }

    fun toStep(): Step {
        for ((partition, appended) in records) {
            val appendId = state.nextAppendId
            val pending = PendingAppend(appendId, acknowledgements.getValue(partition))
            state = state.copy(nextAppendId = appendId + 1)
            updatePartition(partition) { it.copy(pending = it.pending.add(pending)) }
            effects += AppendHistory(partition, state.partitions.getValue(partition).epoch, appendId, appended)
        }
        return Step(node.copy(programs = state), effects, signals)
    }
}
