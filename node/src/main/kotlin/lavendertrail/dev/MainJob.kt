package lavendertrail.dev

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import lavendertrail.bill.billOf
import lavendertrail.history.GENESIS_HASH
import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.history.computedHash
import lavendertrail.history.sha256Hex
import lavendertrail.model.Message
import lavendertrail.model.ProgramId
import lavendertrail.model.ToolId
import lavendertrail.model.Usage
import java.util.concurrent.CompletableFuture

/**
 * End-to-end job for a [DevCluster], over real sockets and through different nodes: a permit renewal for Barakah and a panel
 * rework for Valdivieso, at the same time. Prints what each program did and checks the results; see [run].
 */
internal class MainJob(
    private val cluster: DevCluster,
    private val print: (String) -> Unit,
) {
    private val checks = mutableListOf<Pair<String, Boolean>>()
    private val answers = mutableListOf<ReceivedAnswer>()

    /** Returns true if all checks passed. */
    fun run(): Boolean {
        val programs = listOf(CompletableFuture.supplyAsync(::permitRenewal), CompletableFuture.supplyAsync(::panelRework)).map { it.get() }
        val histories = programs.flatten().associateWith { (caller, program) -> history(caller, program) }
        histories.forEach { (program, records) -> printTimeline(program.second, records) }
        val records = histories.values.flatten()
        checkHistories(histories.mapKeys { it.key.second })
        checkTools(records)
        checkBill(records)
        synchronized(answers) { check("all answers whole", answers.all { sha256Hex(it.text) == it.textSha256 }) }
        printCosts(records)
        val failedChecks = checks.filter { !it.second }.map { it.first }
        print("checked: ${checks.joinToString("; ") { (name, passed) -> "$name ${if (passed) "ok" else "FAILED"}" }}")
        return failedChecks.isEmpty()
    }

    /** A chain of dependent calls with a tool call between them, a charge that is sent twice and must run once, and a sub-agent. */
    private fun permitRenewal(): List<Pair<ApiCaller, String>> {
        val caller = ApiCaller(cluster::addresses, "barakah-desk-token")
        val program = caller.open("barakah-desk", "permit-renewal", openKey = "permit-${System.nanoTime()}")
        val rules = Message("system", "You renew harbour permits. " + "Check vessel, berth, tide and fee. ".repeat(RULES_REPEATED))
        chat(caller, program, 0, "permit-desk", listOf(rules, Message("user", "Renew permit 4711 for the dhow Al Noor.")))
        caller.tool(program, 1, "tide-table", """{"port":"sohar","day":"2026-12-04"}""", key = null)
        chat(caller, program, 2, "permit-desk", listOf(Message("user", "Pick a berth for this tide.")))
        val child = caller.openChild(program, 1, "harbour-helper")
        chat(caller, child, 0, "assist-model", listOf(Message("user", "Is berth 7 free at high water?")))
        caller.end(child)
        val key = "fee-$program"
        val charges = (1..2).map { CompletableFuture.supplyAsync { caller.tool(program, 3, "fee-charge", """{"rials":120}""", key) } }
        val texts =
            charges.map {
                it
                    .get()
                    .getValue("text")
                    .jsonPrimitive.content
            }
        check("a charge sent twice has one outcome", texts.toSet().size == 1)
        chat(caller, program, 4, "permit-desk", listOf(Message("user", "Confirm the renewal to the owner.")))
        checkTotal(caller, program)
        return listOf(caller to program, caller to child)
    }

    /** A program with a long shared history, a sub-agent and a hold order that must run once. */
    private fun panelRework(): List<Pair<ApiCaller, String>> {
        val caller = ApiCaller(cluster::addresses, "valdivieso-taller-token")
        val program = caller.open("valdivieso-taller", "panel-rework")
        val plan = Message("system", "You plan the rework of wall panels. " + "Panel, joint, seal, date. ".repeat(PLAN_REPEATED))
        chat(caller, program, 0, "taller-llm", listOf(plan, Message("user", "Panel 12 leaks at the lower joint.")))
        val child = caller.openChild(program, 1, "parts-helper")
        chat(caller, child, 0, "oficina-app", listOf(Message("user", "Which seal fits joint type C?")))
        caller.end(child)
        caller.toolResult(program, 1, "site-notes", "Joint C, seal 40 mm, two workers.")
        (2..REWORK_TURNS).forEach { position ->
            chat(caller, program, position, "taller-llm", listOf(Message("user", "Next step of the plan, number $position.")))
        }
        caller.tool(program, REWORK_TURNS + 1, "hold-order", """{"panel":12}""", key = "hold-$program")
        chat(caller, program, REWORK_TURNS + 2, "taller-llm", listOf(Message("user", "Sum up for the foreman.")))
        checkTotal(caller, program)
        return listOf(caller to program, caller to child)
    }

    private fun chat(
        caller: ApiCaller,
        program: String,
        position: Int,
        model: String,
        messages: List<Message>,
    ) {
        val answer = caller.chat(program, position, model, messages)
        synchronized(answers) { answers += answer }
        val node = cluster.running.first { it.apiAddress == answer.node }.name
        print(
            "$program/$position via $node: first text ${answer.firstMillis} ms, whole ${answer.totalMillis} ms, " +
                "prompt ${answer.promptTokens} (reused ${answer.cachedTokens}), generated ${answer.generatedTokens}, " +
                "cost ${answer.costMicros} micros",
        )
    }

    private fun checkTotal(
        caller: ApiCaller,
        program: String,
    ) {
        val total = caller.end(program).getValue("total").jsonObject
        val cost = total.getValue("costMicros").jsonPrimitive.long
        check("budget kept", cost in 1..MAX_COST_MICROS)
    }

    private fun history(
        caller: ApiCaller,
        program: String,
    ): List<HistoryRecord> = Json.decodeFromJsonElement(HistoryPage.serializer(), caller.history(program)).records

    private fun checkHistories(histories: Map<String, List<HistoryRecord>>) {
        check("histories whole and in order", histories.all { (program, records) -> isWholeChain(program, records) })
    }

    private fun isWholeChain(
        program: String,
        records: List<HistoryRecord>,
    ): Boolean {
        val linked =
            records.zipWithNext().all { (before, after) ->
                after.previousHash == before.hash &&
                    after.sequence == before.sequence + 1
            }
        val own =
            records.all {
                it.program == ProgramId(program) &&
                    it.hash == it.computedHash() &&
                    sha256Hex(it.content.orEmpty()) == it.contentSha256
            }
        val positions = records.mapNotNull { (it.payload as? HistoryPayload.CallStarted)?.position }
        return records.isNotEmpty() &&
            records.first().previousHash == GENESIS_HASH &&
            linked &&
            own &&
            positions == positions.indices.toList()
    }

    private fun checkTools(records: List<HistoryRecord>) {
        val keys = records.mapNotNull { (it.payload as? HistoryPayload.CallStarted)?.key }.toSet()
        val executed = listOf("fee-charge", "hold-order").flatMap { cluster.platform.executionsOf(ToolId(it)) }.mapNotNull { it.key }
        check("each key executed exactly once", keys.size == 2 && executed.sorted() == keys.sorted())
    }

    /** The tokens on the bill must equal those in the engines' ledgers, over all calls of this job. */
    private fun checkBill(records: List<HistoryRecord>) {
        val bill = billOf(records)
        val ledger = cluster.platform.engines.map { it.standin.totals }
        val prompt = ledger.sumOf { it.promptTokens }
        val generated = ledger.sumOf { it.generatedTokens }
        val received = synchronized(answers) { answers.sumOf { it.promptTokens } to answers.sumOf { it.generatedTokens } }
        check("bill without faults", bill.faults.isEmpty())
        val sameAsEngines = bill.total.promptTokens == prompt && bill.total.generatedTokens == generated
        check("bill equals the engines' ledgers", sameAsEngines && received == prompt to generated)
    }

    private fun printTimeline(
        program: String,
        records: List<HistoryRecord>,
    ) {
        val beginMillis = records.firstOrNull()?.atMillis ?: return
        val owner =
            cluster.running
                .firstOrNull {
                    it.state.membership.owned[ProgramId(program).partition]
                        ?.isActive == true
                }?.name
        print("timeline of $program, owner node $owner, ${records.last().atMillis - beginMillis} ms in all:")
        records.forEach { print("  ${(it.atMillis - beginMillis).toString().padStart(6)} ms  ${it.payload.summary()}") }
    }

    private fun printCosts(records: List<HistoryRecord>) {
        val usageByOwner = billOf(records).byOwner.toSortedMap(compareBy { it.value })
        usageByOwner.forEach { (owner, usage) -> print("cost of $owner: ${usage.summary()}") }
        val cachedAndPrompt = synchronized(answers) { answers.sumOf { it.cachedTokens } to answers.sumOf { it.promptTokens } }
        print("reused prefix tokens: ${cachedAndPrompt.first} of ${cachedAndPrompt.second} prompt tokens")
    }

    private fun check(
        name: String,
        passed: Boolean,
    ) {
        synchronized(checks) { checks += name to passed }
    }

    private companion object {
        const val RULES_REPEATED = 40
        const val PLAN_REPEATED = 400
        const val REWORK_TURNS = 5
        const val MAX_COST_MICROS = 100_000_000L
    }
}

private fun Usage.summary(): String =
    "$costMicros micros, prompt $promptTokens tokens (reused $cachedTokens), generated $generatedTokens, tool calls $toolCalls"

private fun HistoryPayload.summary(): String =
    when (this) {
        is HistoryPayload.Opened -> "opened by ${spec.account} as ${spec.assistant}"
        is HistoryPayload.CallStarted -> "call $position started: $kind $target${key?.let { ", key $it" }.orEmpty()}"
        is HistoryPayload.CallFinished -> "call $position finished at ${server ?: "caller"}: $outcome, ${usage.summary()}"
        is HistoryPayload.Settled -> "call $position settled by $settledBy: $outcome"
        is HistoryPayload.ChildOpened -> "sub-agent $child opened"
        is HistoryPayload.Ended -> "ended ($reason): ${total.summary()}"
    }
