package lavendertrail.dev

import kotlinx.serialization.json.Json
import lavendertrail.bill.billOf
import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.model.RunOutcome
import lavendertrail.model.ToolId
import lavendertrail.standins.ExecutedCall
import lavendertrail.standins.StandinPlatform

/** Checks the invariants that hold after any fault, from the calls that the stand-ins executed and the histories that callers read. */
internal class InvariantCheck(
    private val platform: StandinPlatform,
    private val views: List<CallerView>,
    api: ApiCaller,
) {
    private val histories =
        views.associateWith { Json.decodeFromJsonElement(HistoryPage.serializer(), api.history(it.program)).records }
    private val executions = platform.executionsOf(ToolId("fee-charge"))
    private val engineCalls: Map<String, List<ExecutedCall>> =
        platform.engines.flatMap { it.standin.executedCalls }.groupBy { it.call.toString() }

    /** One line for each invariant that is violated. */
    fun problems(): List<String> =
        views.flatMap { it.problems } + histories.flatMap { (view, records) -> historyProblems(view, records) } + keyProblems() +
            chainProblems() + billProblems()

    private fun historyProblems(
        view: CallerView,
        records: List<HistoryRecord>,
    ): List<String> {
        val finished =
            records
                .filter { (it.payload as? HistoryPayload.CallFinished)?.outcome == RunOutcome.RUN }
                .associateBy { (it.payload as HistoryPayload.CallFinished).position }
        val started = records.mapNotNull { (it.payload as? HistoryPayload.CallStarted)?.position }
        val missing = view.answers.filter { (position, text) -> finished[position]?.content != text }
        val problems = mutableListOf<String>()
        val unrecorded = view.answers.keys.filter { it % 3 == 2 && "result $it" !in records.startedContent(it) }
        if (unrecorded.isNotEmpty()) problems += "${view.program}: caller's tool results not in the history: $unrecorded"
        if (missing.isNotEmpty()) problems += "${view.program}: answered, but not in the history with this text: ${missing.keys}"
        if (started != started.sorted()) problems += "${view.program}: started out of order: $started"
        if (started.toSet().size > RetryingCaller.TURNS) problems += "${view.program}: more turns than its budget: $started"
        if (tokensOf(view) > RetryingCaller.MAX_TOKENS) problems += "${view.program}: more tokens than its budget"
        if (executedOrder(view) != executedOrder(view).sorted()) problems += "${view.program}: executed as ${executedOrder(view)}"
        return problems
    }

    private fun List<HistoryRecord>.startedContent(position: Int): String =
        firstOrNull { (it.payload as? HistoryPayload.CallStarted)?.position == position }?.content.orEmpty()

    private fun tokensOf(view: CallerView): Long =
        engineCalls.filterKeys { it.startsWith("${view.program}/") }.values.sumOf { calls ->
            calls.sumOf { it.promptTokens + it.generatedTokens }
        }

    /** Positions in the order in which the stand-ins started to execute them. */
    private fun executedOrder(view: CallerView): List<Int> {
        val tools =
            view.keys.mapNotNull { (position, key) ->
                executions.firstOrNull { it.key == key }?.let { it.startedMillis to position }
            }
        val engines =
            engineCalls.values
                .flatten()
                .filter { it.call.program.value == view.program }
                .map { it.startedMillis to it.call.position }
        return (tools + engines).sortedWith(compareBy({ it.first }, { it.second })).map { it.second }
    }

    private fun keyProblems(): List<String> {
        val counts = executions.groupingBy { it.key }.eachCount()
        val repeated = counts.filterValues { it > 1 }.map { "key ${it.key} was executed ${it.value} times" }
        val missing =
            views.flatMap { view -> view.keys.filterKeys(view.answers::containsKey).values }.filter { it !in counts }.map {
                "key $it was answered but not executed"
            }
        return repeated + missing
    }

    private fun chainProblems(): List<String> = billOf(histories.values.flatten()).faults.map { it.message }

    /** The billed tokens of each answered call must equal the tokens that the engines executed for it. */
    private fun billProblems(): List<String> =
        histories.flatMap { (view, records) ->
            records.mapNotNull { record ->
                val payload = record.payload as? HistoryPayload.CallFinished
                val executed = payload?.let { engineCalls["${view.program}/${it.position}"] } ?: return@mapNotNull null
                val ledger = executed.sumOf { it.promptTokens } to executed.sumOf { it.generatedTokens }
                val billed = payload.usage.promptTokens to payload.usage.generatedTokens
                if (ledger == billed) null else "${view.program}/${payload.position}: billed $billed, engines executed $executed"
            }
        }
}
