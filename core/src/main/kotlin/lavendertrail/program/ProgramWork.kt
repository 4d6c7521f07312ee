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
 * One step of the program reducer: the state so far and what the step asks for. It lives for the length of the step, so
 * [reducePrograms] stays pure. Records of one partition that are created in one step go into one append.
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

    /** Whether this node's dispatch runs [call], from before the partition's journal moved. */
    fun isDispatched(call: CallId): Boolean = call in node.dispatch.core.calls

    fun change(
        program: ProgramId,
        change: (Program) -> Program,
    ) {
        state = state.change(program, change)
    }

    fun changePartition(
        partition: PartitionId,
        change: (PartitionPrograms) -> PartitionPrograms,
    ) {
        state = state.changePartition(partition, change)
    }

    fun remind(
        dueMillis: Long,
        due: Due,
    ) {
        state = state.copy(deadlines = state.deadlines.plus(dueMillis, due))
    }

    /** Creates and folds the next record of [program]; [acknowledgement] is handled once both journal copies have it. */
    fun record(
        program: ProgramId,
        payload: HistoryPayload,
        acknowledgement: Acknowledgement,
        content: String = "",
        body: CallBody? = null,
    ) {
        val epoch = checkNotNull(partition(program)) { "partition of $program is not held here" }.epoch
        val record = nextRecord(program(program)?.lastRecord, program, epoch, nowMillis, payload, content)
        state = state.fold(record, settings, body)
        records.getOrPut(program.partition) { mutableListOf() } += record
        acknowledgements.getOrPut(program.partition) { mutableListOf() } += acknowledgement
    }

    /** Whether this step has records of [partition] that are not handed out yet. */
    fun hasRecords(partition: PartitionId): Boolean = partition in records

    /** Forgets records of this step that were not handed out yet. */
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
        release(requestId)
        effects += RefuseRequest(requestId, refusal)
    }

    fun answer(
        requestId: Long,
        call: CallId,
        result: CallResult,
    ) {
        release(requestId)
        effects += AnswerCall(requestId, call, result)
    }

    /** [requestId] waits no longer. */
    fun release(requestId: Long) {
        state = state.copy(requests = state.requests.remove(requestId))
    }

    fun waitFor(
        requestId: Long,
        call: CallId,
    ) {
        state = state.copy(requests = state.requests.put(requestId, call))
    }

    fun finish(): Step {
        for ((partition, appended) in records) {
            val appendId = state.nextAppendId
            val pending = PendingAppend(appendId, acknowledgements.getValue(partition))
            state = state.copy(nextAppendId = appendId + 1)
            changePartition(partition) { it.copy(pending = it.pending.add(pending)) }
            effects += AppendHistory(partition, state.partitions.getValue(partition).epoch, appendId, appended)
        }
        return Step(node.copy(programs = state), effects, signals)
    }
}
