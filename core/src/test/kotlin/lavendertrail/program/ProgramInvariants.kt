package lavendertrail.program

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.model.Budget
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.Message
import lavendertrail.model.ProgramId
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.reducer.AnswerCall
import lavendertrail.reducer.AnswerFromHistory

/** Thrown when a schedule violates an invariant of the program reducer. [checker] is the name of the check that failed. */
internal class InvariantViolation(
    val checker: String,
    message: String,
) : AssertionError("$checker: $message")

/**
 * Checks the invariants on everything that callers and backend servers observe, from the event trace and the journal copies. It
 * shares no decision logic with the reducer, only the record types, their content and [promptChain].
 */
internal class ProgramInvariants {
    lateinit var copies: List<List<HistoryRecord>>
    lateinit var currentOwner: () -> OwnerNode
    lateinit var budgets: Map<ProgramId, Budget>
    private val requests = mutableMapOf<Long, SubmittedRequest>()
    private val dispatchesByKey = mutableMapOf<String, Int>()
    private val executedStarts = mutableSetOf<Pair<ProgramId, Int>>()
    private val executedKeys = mutableSetOf<String>()
    private val answerTexts = mutableMapOf<CallId, String>()
    val counts = mutableMapOf<String, Int>()

    fun onSubmitted(
        requestId: Long,
        request: SubmittedRequest,
    ) {
        requests[requestId] = request
    }

    fun onCallerGone(requestId: Long) {
        requests[requestId]?.callerGone = true
    }

    fun nextPosition(program: ProgramId): Int =
        copies[0]
            .filter { it.program == program }
            .mapNotNull { (it.payload as? HistoryPayload.CallFinished)?.position }
            .maxOfOrNull { it + 1 } ?: 0

    fun onJournalMoved(
        from: OwnerNode,
        to: OwnerNode,
    ) = requests.filterValues { it.owner === from && it.answer == null }.forEach { (id, before) ->
        requests[id] =
            SubmittedRequest(to, before.request).also {
                it.startSequence = before.startSequence
                it.callerGone = before.callerGone
            }
    }

    fun onAppended(
        owner: OwnerNode,
        records: List<HistoryRecord>,
    ) {
        for (record in records) {
            val started = record.payload as? HistoryPayload.CallStarted ?: continue
            val call = CallId(record.program, started.position)
            val waiting =
                requests.values.filter {
                    it.owner === owner &&
                        it.answer == null &&
                        it.request.call == call &&
                        bodySha256(it.request.body) == started.bodySha256
                }
            check("start without request", waiting.isNotEmpty()) { "$call was started without a waiting request" }
            waiting.forEach { it.startSequence = record.sequence }
        }
    }

    fun onDispatched(dispatched: DispatchedCall) {
        count(if (dispatched.call.recovered) "dispatched again" else "dispatched")
        val call = dispatched.call.call
        check("durable start", copies.all { copy -> copy.any { it.program == call.program && it.sequence == dispatched.startSequence } }) {
            "$call was dispatched before its start was on both copies"
        }
        val finished = copies[0].filter { it.program == call.program && it.sequence < dispatched.startSequence }
        val before = finished.mapNotNull { (it.payload as? HistoryPayload.CallFinished)?.position }
        check("order", (0 until call.position).all { it in before }) { "$call was dispatched before the calls before it had outcomes" }
        val key = dispatched.call.key ?: return
        if (dispatched.call.repeatable || dispatched.call.resumeOnly) return
        val finishedNotRun = notRunStarts(key)
        val times = dispatchesByKey.merge(key, 1, Int::plus) ?: 1
        check("at most once", times - finishedNotRun <= 1) { "$key was dispatched $times times, $finishedNotRun of them not run" }
    }

    /** A prompt must be the full history of its own program, and its chain must cover exactly these messages. */
    fun checkPrompt(
        dispatched: DispatchedCall,
        messages: List<Message>,
    ) {
        val body = dispatched.call.body as? CallBody.ModelCall ?: return
        val call = dispatched.call.call
        val expected = copies[0].filter { it.program == call.program && it.sequence < dispatched.startSequence }.messages() + body.messages
        check("prompt", messages == expected) { "$call was sent with $messages instead of $expected" }
        check(
            "prompt chain",
            dispatched.call.promptChain == promptChain(expected),
        ) { "$call has a prompt chain that does not match its prompt" }
    }

    private fun List<HistoryRecord>.messages(): List<Message> {
        var body: CallBody? = null
        return flatMap { record ->
            val payload = record.payload
            if (payload is HistoryPayload.CallStarted) body = if (payload.kind == "sameKey") null else decodeBody(record.content.orEmpty())
            val call = body
            val answer = record.content.orEmpty()
            when {
                payload !is HistoryPayload.CallFinished || payload.refusal != null || call == null -> emptyList()
                call is CallBody.ModelCall -> call.messages + Message("assistant", answer)
                call is CallBody.ToolResult -> listOf(Message("tool", call.content))
                else -> listOf(Message("tool", answer))
            }
        }
    }

    private fun notRunStarts(key: String): Int {
        val starts = mutableMapOf<CallId, String?>()
        return copies[0].count { record ->
            val payload = record.payload
            if (payload is HistoryPayload.CallStarted) starts[CallId(record.program, payload.position)] = payload.key
            payload is HistoryPayload.CallFinished &&
                payload.outcome == RunOutcome.NOT_RUN &&
                payload.attempts > 0 &&
                starts[CallId(record.program, payload.position)] == key
        }
    }

    fun onExecuted(dispatched: DispatchedCall) {
        val key = dispatched.call.key?.takeUnless { dispatched.call.repeatable }
        check("executed once", key == null || executedKeys.add(key)) { "$key was executed twice" }
        executedStarts += dispatched.call.call.program to dispatched.startSequence
        requests.values.filter { it.request.call == dispatched.call.call }.forEach(::checkNotRun)
    }

    fun wasExecuted(key: String?): Boolean = key in executedKeys

    fun onAnswered(
        requestId: Long,
        result: CallResult,
        owner: OwnerNode,
    ) {
        val request = requests[requestId] ?: return
        check("one answer", request.answer == null) { "request $requestId was answered twice" }
        check("own answer", request.owner === owner) { "request $requestId was answered by another node" }
        request.answer = result
        count(if (result is CallResult.Refused) "${result.refusal.outcome} ${result.refusal.reason}" else "answered")
        if (result is CallResult.Answered) checkDurable(request.request.call, result)
        checkNotRun(request)
    }

    private fun checkDurable(
        call: CallId,
        result: CallResult.Answered,
    ) {
        answerTexts.merge(call, result.text) { first, _ -> first }
        check("first outcome", answerTexts[call] == result.text) { "$call was answered '${answerTexts[call]}' and then '${result.text}'" }
        check(
            "durable answer",
            copies.all { it.answerOf(it.firstWithKeyOf(call)) == result.text },
        ) { "$call was answered before its outcome was on both copies" }
    }

    /** The first call with the same idempotency key, whose answer [call] shares; [call] itself if there is none. */
    private fun List<HistoryRecord>.firstWithKeyOf(call: CallId): CallId =
        mapNotNull { record -> (record.payload as? HistoryPayload.CallStarted)?.takeIf { record.program == call.program } }
            .lastOrNull { it.position == call.position && it.kind == "sameKey" }
            ?.let { CallId(ProgramId(it.target.substringBefore('/')), it.target.substringAfter('/').toInt()) } ?: call

    private fun List<HistoryRecord>.answerOf(call: CallId): String? =
        lastOrNull { record ->
            val finished = record.payload as? HistoryPayload.CallFinished
            record.program == call.program && finished?.position == call.position && finished.refusal == null
        }?.content

    private fun checkNotRun(request: SubmittedRequest) {
        val refusal = (request.answer as? CallResult.Refused)?.refusal ?: return
        if (refusal.outcome != RunOutcome.NOT_RUN) return
        val startSequence = request.startSequence
        check("not run", startSequence == null || (request.request.call.program to startSequence) !in executedStarts) {
            "${request.request.call} was refused as not run and was executed: $refusal"
        }
        val isOtherCall = refusal.reason == RefusalReason.KEY_REUSED || refusal.reason == RefusalReason.POSITION_TAKEN
        // A former owner doesn't know which calls the current owner runs, so its refusal applies to this request only.
        val isLimitedToRequest =
            isOtherCall ||
                request.owner !== currentOwner() ||
                refusal.reason == RefusalReason.NOT_OWNER ||
                refusal.reason == RefusalReason.UNKNOWN_PROGRAM
        val key = request.request.key?.takeUnless { isLimitedToRequest || request.startSequence != null }
        check("not run by key", key == null || key !in executedKeys || request.checkedKey) {
            "${request.request.call} was refused as not run and its key $key was executed: $refusal"
        }
        request.checkedKey = true
    }

    /** [replayed] is a fresh node that has replayed the final journal. */
    fun checkFinalState(replayed: ProgramHarness) {
        val open = requests.filterValues { it.answer == null && !it.callerGone }
        check("every request answered", open.isEmpty()) { "no answer for ${open.map { "${it.key} ${it.value.request.call}" }}" }
        checkBudgets()
        answerTexts.entries.forEachIndexed { index, (call, text) -> checkAnswerKept(replayed, 1_000_000L + index, call, text) }
    }

    private fun checkAnswerKept(
        replayed: ProgramHarness,
        requestId: Long,
        call: CallId,
        text: String,
    ) {
        val first = requests.values.first { it.request.call == call && (it.answer as? CallResult.Answered)?.text == text }
        replayed.submit(requestId, first.request.copy(deadlineMillis = Long.MAX_VALUE))
        val stored =
            replayed.effects
                .filterIsInstance<AnswerCall>()
                .singleOrNull { it.requestId == requestId }
                ?.result
        val read =
            replayed.effects.filterIsInstance<AnswerFromHistory>().singleOrNull { it.requestId == requestId }?.let {
                storedAnswer({ program -> copies[0].filter { r -> r.program == program } }, it.call, it.bodySha256, it.recordCount)
            }
        val kept = (stored ?: read) as? CallResult.Answered
        check("kept", kept?.text == text) { "$call was answered '$text', but after replay its answer is '${kept?.text}'" }
    }

    /** Sums up reservations and usage in journal order, for each program with all of its sub-agents. */
    private fun checkBudgets() {
        for ((program, budget) in budgets) {
            val tokens = mutableMapOf<CallId, Long>()
            val cost = mutableMapOf<CallId, Long>()
            var closedTokens = 0L
            var closedCost = 0L
            var turns = 0
            for (record in copies[0].filter { it.program == program || it.program.value.startsWith("$program.") }) {
                when (val payload = record.payload) {
                    is HistoryPayload.CallStarted -> {
                        tokens[CallId(record.program, payload.position)] = payload.reservedTokens
                        cost[CallId(record.program, payload.position)] = payload.reservedCostMicros
                        if (payload.kind == "model") turns += 1
                    }

                    is HistoryPayload.CallFinished -> {
                        val reserved = tokens.remove(CallId(record.program, payload.position)) ?: 0
                        if (payload.outcome == RunOutcome.NOT_RUN && reserved > 0) turns -= 1
                        val unknown = payload.refusal != null && payload.outcome != RunOutcome.NOT_RUN
                        check(
                            "charge",
                            !unknown || payload.usage.totalTokens == reserved,
                        ) { "a call with unknown usage in $program is not charged its full reservation" }
                        closedTokens += payload.usage.totalTokens
                        cost -= CallId(record.program, payload.position)
                        closedCost += payload.usage.costMicros
                    }

                    else -> {
                        Unit
                    }
                }
                check("budget", closedTokens + tokens.values.sum() <= budget.maxTokens) { "$program exceeds ${budget.maxTokens} tokens" }
                check(
                    "budget",
                    closedCost + cost.values.sum() <= budget.maxCostMicros,
                ) { "$program exceeds ${budget.maxCostMicros} micros" }
                check("turns", turns <= budget.maxTurns) { "$program exceeds ${budget.maxTurns} turns" }
            }
        }
    }

    private fun count(what: String) {
        counts.merge(what, 1, Int::plus)
    }

    private fun check(
        checker: String,
        holds: Boolean,
        message: () -> String,
    ) {
        if (!holds) throw InvariantViolation(checker, message())
    }
}
