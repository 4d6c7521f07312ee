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

/** A node that holds, or held, the partition. [taken] counts for each journal copy how many of [appends] it has. */
internal class Owner(
    var state: NodeState,
    val epoch: Long,
) {
    val appends = mutableListOf<AppendHistory>()
    val taken = intArrayOf(0, 0)
    val running = mutableListOf<Sent>()
    val openStart = mutableMapOf<CallId, Int>()
    var acknowledged = 0
}

/** A call with dispatch; [start] is the sequence of its `CallStarted`. */
internal class Sent(
    val call: DispatchCall,
    val start: Int,
    var executed: Boolean = false,
)

internal class Asked(
    val owner: Owner,
    val request: CallRequest,
) {
    var start: Int? = null
    var answer: CallResult? = null
    var gone = false
    var checkedKey = false
}

/**
 * One random life of a partition: owners that freeze, are replaced and go on, a journal with two copies, callers that
 * repeat themselves, and backend servers. [promises] watches what the reducer asks for.
 */
internal class ProgramSchedule(
    seed: Long,
    private val promises: ProgramPromises = ProgramPromises(),
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
    private var requests = 0L
    private var current = Owner(freshState(), 1)
    private val former = mutableListOf<Owner>()

    fun run(): ProgramPromises {
        promises.copies = copies
        promises.currentOwner = { current }
        promises.budgets = programs.associateWith { if (it == root) budget else childBudget }
        send(current, PartitionAcquired(root.partition, 1, emptyList()))
        send(current, ProgramOpenRequested(++requests, root, spec(budget)))
        repeat(random.nextInt(4)) { moveJournal() }
        repeat(random.nextInt(60, 400)) { act() }
        settleDown()
        promises.checkEnd(replayed())
        return promises
    }

    private fun freshState(): NodeState = ProgramBench().state.copy(settings = settings)

    private fun act() {
        nowMillis += if (random.nextInt(30) == 0) random.nextLong(2_000) else random.nextLong(60)
        when (random.nextInt(100)) {
            in 0..19 -> submit()
            in 20..26 -> moveJournal()
            in 27..46 -> takeAppend(random.nextInt(2))
            in 47..62 -> acknowledge(anyOwner())
            in 63..86 -> advance(anyOwner())
            87 -> send(anyOwner(), CallerGone(random.nextLong(requests + 1)).also { promises.gone(it.requestId) })
            88 -> failAppend(current)
            in 89..91 -> send(anyOwner(), Tick)
            in 92..94 -> open()
            95 -> if (random.nextInt(6) == 0) send(current, ProgramEndRequested(++requests, programs.random(random), "done"))
            96 -> takeOver()
            97 -> fence()
            98 -> strayAcknowledgement()
            else -> submit()
        }
    }

    /** A change of the owner can lose an opening that nobody was told of, so callers repeat it. */
    private fun open() {
        val child = random.nextInt(3)
        requests += 1
        if (child == 0) {
            send(current, ProgramOpenRequested(requests, root, spec(budget)))
        } else {
            send(current, ChildOpenRequested(requests, root, child, spec(childBudget)))
        }
    }

    private fun anyOwner(): Owner = if (former.isEmpty() || random.nextInt(4) > 0) current else former.random(random)

    private fun submit() {
        val owner = if (random.nextInt(12) == 0) anyOwner() else current
        val program = programs.random(random)
        val next = promises.nextPosition(program)
        val position = (next + listOf(0, 0, 0, 0, 1, 2, -1, -2, 3).random(random)).coerceAtLeast(0)
        val request = requestAt(program, position)
        requests += 1
        promises.asked(requests, Asked(owner, request))
        send(owner, CallSubmitted(requests, request))
    }

    /** Mostly the same call for the same position. Keys come from a small pool, so that some are used twice. */
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

    private fun takeAppend(copy: Int) {
        val append = current.appends.getOrNull(current.taken[copy]) ?: return
        copies[copy] += append.records
        current.taken[copy] += 1
    }

    /** Acknowledgements of appends that both copies have come in any order, and some never. */
    private fun acknowledge(owner: Owner) {
        val both = owner.taken.min()
        if (both == owner.acknowledged) return
        val append = owner.appends[random.nextInt(owner.acknowledged, both)]
        if (random.nextInt(4) == 0) owner.acknowledged = both
        if (random.nextInt(10) > 0) send(owner, HistoryAppended(root.partition, owner.epoch, append.appendId))
    }

    /** An acknowledgement of a former epoch that reaches the present owner, with an append id that it uses too. */
    private fun strayAcknowledgement() {
        val append = current.appends.getOrNull(current.taken.min()) ?: return
        if (current.epoch > 1) send(current, HistoryAppended(root.partition, current.epoch - 1, append.appendId))
    }

    private fun failAppend(owner: Owner) {
        val append = owner.appends.getOrNull(owner.taken.min()) ?: return
        send(owner, HistoryAppendFailed(root.partition, owner.epoch, append.appendId, fenced = false, "copy is slow"))
    }

    private fun fence() {
        val owner = former.randomOrNull(random) ?: return
        val append = owner.appends.getOrNull(owner.taken.min()) ?: return
        send(owner, HistoryAppendFailed(root.partition, owner.epoch, append.appendId, fenced = true, "sealed"))
    }

    /** Backend servers: a call is executed or not, and its end is reported or not. */
    private fun advance(owner: Owner) {
        val sent = owner.running.randomOrNull(random) ?: return
        if (!sent.executed && !sent.call.resumeOnly && random.nextInt(3) > 0) {
            sent.executed = true
            promises.executed(sent)
            return
        }
        owner.running -= sent
        send(owner, DispatchFinished(sent.call.call, resultOf(sent), 1))
    }

    private fun resultOf(sent: Sent): CallResult {
        val known = sent.executed || (sent.call.resumeOnly && promises.wasExecuted(sent.call.key))
        val retryAfterMillis = if (random.nextBoolean()) 50L else null
        return when {
            !known -> refused(RunOutcome.NOT_RUN, RefusalReason.OVERLOADED, retryAfterMillis)
            random.nextInt(5) > 0 -> CallResult.Answered("answer ${sent.call.call} ${random.nextInt(1_000)}", usageOf(sent.call))
            random.nextBoolean() -> refused(RunOutcome.RUN, RefusalReason.TOOL_FAILED, null)
            else -> refused(RunOutcome.MAY_HAVE_RUN, RefusalReason.SERVER_FAILED, retryAfterMillis)
        }
    }

    /** Up to what the engine can use: the tokens of the prompt are at most its bytes. */
    private fun usageOf(call: DispatchCall): Usage {
        if (call.body !is CallBody.ModelCall) return Usage()
        return Usage(promptTokens = call.promptTokens.toLong(), generatedTokens = random.nextLong(call.maxTokens + 1L))
    }

    private fun refused(
        outcome: RunOutcome,
        reason: RefusalReason,
        retryAfterMillis: Long?,
    ): CallResult = CallResult.Refused(Refusal(outcome, reason, "test", retryAfterMillis, "test"))

    /** A new owner seals the journal and reads either copy; the former owner goes on until it hears of it. */
    private fun takeOver() {
        val records = copies.random(random).toList()
        copies.forEach { copy ->
            copy.clear()
            copy += records
        }
        val before = current
        former += before
        val sameNode = random.nextInt(4) == 0
        current = Owner(if (sameNode) before.state else freshState(), before.epoch + 1)
        if (sameNode) {
            former -= before
            promises.moved(before, current)
            current.running += before.running
        }
        send(current, PartitionAcquired(root.partition, current.epoch, records))
    }

    private fun settleDown() {
        former.forEach { send(it, PartitionLost(root.partition, "test")) }
        repeat(250) {
            nowMillis += 200
            moveJournal()
            advance(current)
            send(current, Tick)
        }
    }

    /** Both copies take everything, and the last acknowledgement arrives. */
    private fun moveJournal() {
        while (current.taken.min() < current.appends.size) copies.indices.forEach(::takeAppend)
        current.appends.lastOrNull()?.let { send(current, HistoryAppended(root.partition, current.epoch, it.appendId)) }
    }

    private fun replayed(): ProgramBench {
        val bench = ProgramBench(settings.programs)
        bench.nowMillis = nowMillis
        return bench.acquire(copies[0].toList(), current.epoch + 1).acknowledge()
    }

    private fun send(
        owner: Owner,
        event: Event,
    ) {
        val step = reducePrograms(owner.state, TimedEvent(nowMillis, 1, event))
        owner.state = step.state
        if (event is PartitionAcquired) readStarts(owner, event.records)
        step.effects.forEach { apply(owner, it) }
        step.signals.filterIsInstance<DispatchRequested>().forEach { request ->
            val sent = Sent(request.call, owner.openStart.getValue(request.call.call))
            promises.dispatched(sent)
            // The runner asks a journal copy that may have taken records since.
            val texts = HistoryReader { program -> copies[0].filter { it.program == program } }
            promises.prompted(sent, owner.state.promptMessages(sent.call.call, texts))
            owner.running += sent
        }
    }

    private fun readStarts(
        owner: Owner,
        records: List<HistoryRecord>,
    ) = records.forEach { record ->
        (record.payload as? HistoryPayload.CallStarted)?.let { owner.openStart[CallId(record.program, it.position)] = record.sequence }
    }

    private fun apply(
        owner: Owner,
        effect: Effect,
    ) {
        when (effect) {
            is AppendHistory -> {
                owner.appends += effect
                readStarts(owner, effect.records)
                promises.appended(owner, effect.records)
            }

            is AnswerCall -> {
                promises.answered(effect.requestId, effect.result, owner)
            }

            is AnswerFromHistory -> {
                val texts = HistoryReader { program -> copies[0].filter { it.program == program } }
                val result = storedAnswer(texts, effect.call, effect.bodySha256, effect.recordCount)
                promises.answered(effect.requestId, result, owner)
            }

            is RefuseRequest -> {
                promises.answered(effect.requestId, CallResult.Refused(effect.refusal), owner)
            }

            else -> {
                Unit
            }
        }
    }
}
