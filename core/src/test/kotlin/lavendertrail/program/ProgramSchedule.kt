package lavendertrail.program

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.model.Budget
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.CallResult
import lavendertrail.model.ProgramId
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.Usage
import lavendertrail.reducer.AnswerCall
import lavendertrail.reducer.AnswerFromHistory
import lavendertrail.reducer.AppendHistory
import lavendertrail.reducer.CallSubmitted
import lavendertrail.reducer.CallerGone
import lavendertrail.reducer.ChildOpenRequested
import lavendertrail.reducer.DispatchCall
import lavendertrail.reducer.DispatchFinished
import lavendertrail.reducer.DispatchRequested
import lavendertrail.reducer.Effect
import lavendertrail.reducer.Event
import lavendertrail.reducer.HistoryAppendFailed
import lavendertrail.reducer.HistoryAppended
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PartitionAcquired
import lavendertrail.reducer.PartitionLost
import lavendertrail.reducer.ProgramEndRequested
import lavendertrail.reducer.ProgramOpenRequested
import lavendertrail.reducer.ReducerSettings
import lavendertrail.reducer.RefuseRequest
import lavendertrail.reducer.Tick
import lavendertrail.reducer.TimedEvent
import kotlin.random.Random

/** A current or former owner node of the partition. [copiedAppends] is the number of [appends] that each journal copy has. */
internal class OwnerNode(
    var state: NodeState,
    val epoch: Long,
) {
    val appends = mutableListOf<AppendHistory>()
    val copiedAppends = intArrayOf(0, 0)
    val running = mutableListOf<DispatchedCall>()
    val startSequences = mutableMapOf<CallId, Int>()
    var acknowledgedAppends = 0
}

/** A call that was passed to dispatch. [startSequence] is the sequence number of its `CallStarted` record. */
internal class DispatchedCall(
    val call: DispatchCall,
    val startSequence: Int,
    var executed: Boolean = false,
)

internal class SubmittedRequest(
    val owner: OwnerNode,
    val request: CallRequest,
) {
    var startSequence: Int? = null
    var answer: CallResult? = null
    var callerGone = false
    var checkedKey = false
}

/**
 * A random schedule of events for one partition: owner nodes that are replaced and continue as former owners, a journal with
 * two copies, callers that repeat requests, and backend servers. [invariants] checks the effects and signals of the reducer.
 */
internal class ProgramSchedule(
    seed: Long,
    private val invariants: ProgramInvariants = ProgramInvariants(),
) {
    private val random = Random(seed)
    private val bodySeed = random.nextLong()
    private val budget = Budget(random.nextLong(300, 3_000), random.nextLong(200, 2_000), random.nextInt(2, 14), 600_000)
    private val childBudget = Budget(random.nextLong(200, 2_000), 1_000, random.nextInt(1, 6), 600_000)
    private val settings =
        ReducerSettings(
            programs = ProgramSettings(maxWaitingCalls = 4, maxWaitingMillis = 3_000, maxRecentCalls = 3, maxRecentTextBytes = 120),
        )
    private val programs = listOf(root, root.child(1), root.child(2))
    private val copies = listOf(mutableListOf<HistoryRecord>(), mutableListOf())
    private var nowMillis = 1_000L
    private var lastRequestId = 0L
    private var currentOwner = OwnerNode(freshState(), 1)
    private val formerOwners = mutableListOf<OwnerNode>()

    fun run(): ProgramInvariants {
        invariants.copies = copies
        invariants.currentOwner = { currentOwner }
        invariants.budgets = programs.associateWith { if (it == root) budget else childBudget }
        send(currentOwner, PartitionAcquired(root.partition, 1, emptyList()))
        send(currentOwner, ProgramOpenRequested(++lastRequestId, root, spec(budget)))
        repeat(random.nextInt(4)) { replicateAll() }
        repeat(random.nextInt(60, 400)) { runRandomAction() }
        runToQuiescence()
        invariants.checkFinalState(replayedNode())
        return invariants
    }

    private fun freshState(): NodeState = ProgramHarness().state.copy(settings = settings)

    private fun runRandomAction() {
        nowMillis += if (random.nextInt(30) == 0) random.nextLong(2_000) else random.nextLong(60)
        when (random.nextInt(100)) {
            in 0..19 -> submitRequest()
            in 20..26 -> replicateAll()
            in 27..46 -> copyAppend(random.nextInt(2))
            in 47..62 -> acknowledgeAppend(anyOwner())
            in 63..86 -> advanceCall(anyOwner())
            87 -> send(anyOwner(), CallerGone(random.nextLong(lastRequestId + 1)).also { invariants.onCallerGone(it.requestId) })
            88 -> failAppend(currentOwner)
            in 89..91 -> send(anyOwner(), Tick)
            in 92..94 -> openProgram()
            95 -> if (random.nextInt(6) == 0) send(currentOwner, ProgramEndRequested(++lastRequestId, programs.random(random), "done"))
            96 -> changeOwner()
            97 -> fenceFormerOwner()
            98 -> sendStaleAcknowledgement()
            else -> submitRequest()
        }
    }

    /** A change of owner can lose an open request that was not acknowledged, so callers repeat it. */
    private fun openProgram() {
        val child = random.nextInt(3)
        lastRequestId += 1
        if (child == 0) {
            send(currentOwner, ProgramOpenRequested(lastRequestId, root, spec(budget)))
        } else {
            send(currentOwner, ChildOpenRequested(lastRequestId, root, child, spec(childBudget)))
        }
    }

    private fun anyOwner(): OwnerNode = if (formerOwners.isEmpty() || random.nextInt(4) > 0) currentOwner else formerOwners.random(random)

    private fun submitRequest() {
        val owner = if (random.nextInt(12) == 0) anyOwner() else currentOwner
        val program = programs.random(random)
        val next = invariants.nextPosition(program)
        val position = (next + listOf(0, 0, 0, 0, 1, 2, -1, -2, 3).random(random)).coerceAtLeast(0)
        val request = requestAt(program, position)
        lastRequestId += 1
        invariants.onSubmitted(lastRequestId, SubmittedRequest(owner, request))
        send(owner, CallSubmitted(lastRequestId, request))
    }

    /** Mostly returns the same call for the same position. Keys come from a small pool, so that some are used twice. */
    private fun requestAt(
        program: ProgramId,
        position: Int,
    ): CallRequest {
        val variant = if (random.nextInt(20) == 0) 1 else 0
        val choice = Random(bodySeed + program.value.hashCode() * 31L + position * 7L + variant)
        val key = "key-${choice.nextInt(5)}"
        val deadlineMillis = nowMillis + random.nextLong(4_000, 40_000)
        return when (choice.nextInt(6)) {
            0, 1 -> callOf(position, ask("q$position$variant", choice.nextInt(1, 60)), program, null, deadlineMillis)
            2 -> callOf(position, CallBody.ToolCall(pay, if (choice.nextInt(10) == 0) "other" else key), program, key, deadlineMillis)
            3 -> callOf(position, CallBody.ToolCall(book, "b$key"), program, "b$key", deadlineMillis)
            4 -> callOf(position, CallBody.ToolCall(search, "s$position"), program, null, deadlineMillis)
            else -> callOf(position, CallBody.ToolResult("local", "r$position$variant"), program, null, deadlineMillis)
        }
    }

    private fun copyAppend(copy: Int) {
        val append = currentOwner.appends.getOrNull(currentOwner.copiedAppends[copy]) ?: return
        copies[copy] += append.records
        currentOwner.copiedAppends[copy] += 1
    }

    /** Acknowledges appends that both copies have, in any order; some acknowledgements are lost. */
    private fun acknowledgeAppend(owner: OwnerNode) {
        val both = owner.copiedAppends.min()
        if (both == owner.acknowledgedAppends) return
        val append = owner.appends[random.nextInt(owner.acknowledgedAppends, both)]
        if (random.nextInt(4) == 0) owner.acknowledgedAppends = both
        if (random.nextInt(10) > 0) send(owner, HistoryAppended(root.partition, owner.epoch, append.appendId))
    }

    /** Sends the current owner an acknowledgement of the previous epoch with an append id that it also uses. */
    private fun sendStaleAcknowledgement() {
        val append = currentOwner.appends.getOrNull(currentOwner.copiedAppends.min()) ?: return
        if (currentOwner.epoch > 1) send(currentOwner, HistoryAppended(root.partition, currentOwner.epoch - 1, append.appendId))
    }

    private fun failAppend(owner: OwnerNode) {
        val append = owner.appends.getOrNull(owner.copiedAppends.min()) ?: return
        send(owner, HistoryAppendFailed(root.partition, owner.epoch, append.appendId, fenced = false, "copy is slow"))
    }

    private fun fenceFormerOwner() {
        val owner = formerOwners.randomOrNull(random) ?: return
        val append = owner.appends.getOrNull(owner.copiedAppends.min()) ?: return
        send(owner, HistoryAppendFailed(root.partition, owner.epoch, append.appendId, fenced = true, "sealed"))
    }

    /** Simulates backend servers: executes a call, or reports the end of one that was or was not executed. */
    private fun advanceCall(owner: OwnerNode) {
        val dispatched = owner.running.randomOrNull(random) ?: return
        if (!dispatched.executed && !dispatched.call.resumeOnly && random.nextInt(3) > 0) {
            dispatched.executed = true
            invariants.onExecuted(dispatched)
            return
        }
        owner.running -= dispatched
        send(owner, DispatchFinished(dispatched.call.call, resultOf(dispatched), 1))
    }

    private fun resultOf(dispatched: DispatchedCall): CallResult {
        val known = dispatched.executed || (dispatched.call.resumeOnly && invariants.wasExecuted(dispatched.call.key))
        val retryAfterMillis = if (random.nextBoolean()) 50L else null
        return when {
            !known -> refused(RunOutcome.NOT_RUN, RefusalReason.OVERLOADED, retryAfterMillis)
            random.nextInt(
                5,
            ) > 0 -> CallResult.Answered("answer ${dispatched.call.call} ${random.nextInt(1_000)}", usageOf(dispatched.call))
            random.nextBoolean() -> refused(RunOutcome.RUN, RefusalReason.TOOL_FAILED, null)
            else -> refused(RunOutcome.MAY_HAVE_RUN, RefusalReason.SERVER_FAILED, retryAfterMillis)
        }
    }

    /** Usage up to the limits of the engine: a prompt has at most as many tokens as bytes. */
    private fun usageOf(call: DispatchCall): Usage {
        if (call.body !is CallBody.ModelCall) return Usage()
        return Usage(promptTokens = call.promptTokens.toLong(), generatedTokens = random.nextLong(call.maxTokens + 1L))
    }

    private fun refused(
        outcome: RunOutcome,
        reason: RefusalReason,
        retryAfterMillis: Long?,
    ): CallResult = CallResult.Refused(Refusal(outcome, reason, "test", retryAfterMillis, "test"))

    /** A new owner seals the journal and reads either copy. The former owner continues until it learns of the change. */
    private fun changeOwner() {
        val records = copies.random(random).toList()
        copies.forEach { copy ->
            copy.clear()
            copy += records
        }
        val before = currentOwner
        formerOwners += before
        val sameNode = random.nextInt(4) == 0
        currentOwner = OwnerNode(if (sameNode) before.state else freshState(), before.epoch + 1)
        if (sameNode) {
            formerOwners -= before
            invariants.onJournalMoved(before, currentOwner)
            currentOwner.running += before.running
        }
        send(currentOwner, PartitionAcquired(root.partition, currentOwner.epoch, records))
    }

    private fun runToQuiescence() {
        formerOwners.forEach { send(it, PartitionLost(root.partition, "test")) }
        repeat(250) {
            nowMillis += 200
            replicateAll()
            advanceCall(currentOwner)
            send(currentOwner, Tick)
        }
    }

    /** Both copies receive all appends, and the last one is acknowledged. */
    private fun replicateAll() {
        while (currentOwner.copiedAppends.min() < currentOwner.appends.size) copies.indices.forEach(::copyAppend)
        currentOwner.appends.lastOrNull()?.let { send(currentOwner, HistoryAppended(root.partition, currentOwner.epoch, it.appendId)) }
    }

    private fun replayedNode(): ProgramHarness {
        val harness = ProgramHarness(settings.programs)
        harness.nowMillis = nowMillis
        return harness.acquire(copies[0].toList(), currentOwner.epoch + 1).acknowledge()
    }

    private fun send(
        owner: OwnerNode,
        event: Event,
    ) {
        val step = reducePrograms(owner.state, TimedEvent(nowMillis, 1, event))
        owner.state = step.state
        if (event is PartitionAcquired) recordStarts(owner, event.records)
        step.effects.forEach { applyEffect(owner, it) }
        step.signals.filterIsInstance<DispatchRequested>().forEach { request ->
            val dispatched = DispatchedCall(request.call, owner.startSequences.getValue(request.call.call))
            invariants.onDispatched(dispatched)
            // The runner reads a journal copy that may have received more records since.
            val texts = HistoryReader { program -> copies[0].filter { it.program == program } }
            invariants.checkPrompt(dispatched, owner.state.promptMessages(dispatched.call.call, texts))
            owner.running += dispatched
        }
    }

    private fun recordStarts(
        owner: OwnerNode,
        records: List<HistoryRecord>,
    ) = records.forEach { record ->
        val started = record.payload as? HistoryPayload.CallStarted
        started?.let { owner.startSequences[CallId(record.program, it.position)] = record.sequence }
    }

    private fun applyEffect(
        owner: OwnerNode,
        effect: Effect,
    ) {
        when (effect) {
            is AppendHistory -> {
                owner.appends += effect
                recordStarts(owner, effect.records)
                invariants.onAppended(owner, effect.records)
            }

            is AnswerCall -> {
                invariants.onAnswered(effect.requestId, effect.result, owner)
            }

            is AnswerFromHistory -> {
                val texts = HistoryReader { program -> copies[0].filter { it.program == program } }
                val result = storedAnswer(texts, effect.call, effect.bodySha256, effect.recordCount)
                invariants.onAnswered(effect.requestId, result, owner)
            }

            is RefuseRequest -> {
                invariants.onAnswered(effect.requestId, CallResult.Refused(effect.refusal), owner)
            }

            else -> {
                Unit
            }
        }
    }
}
