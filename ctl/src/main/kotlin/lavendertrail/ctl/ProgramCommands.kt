package lavendertrail.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import lavendertrail.dispatch.PlacementNote
import lavendertrail.history.HistoryRecord
import lavendertrail.program.CallSummary

internal fun programCommands(): List<Command> = listOf(Explain(), Unsettled(), Settle(), PoisonList(), PoisonLift())

private val lenientJson = Json { ignoreUnknownKeys = true }

private class Explain : NodeCommand("explain", "Show what happened to each call of a program and why") {
    private val program by parser.argument(PositionalString, "PROGRAM", "Program id")

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val answer = fetchExplanation(client)
        if (json) {
            console.print(answer)
            return
        }
        val trace =
            ProgramTrace(
                program = answer.stringField("program") ?: program,
                ownerNode = answer.stringField("ownerNode"),
                calls = answer.decodeList("calls", CallSummary.serializer()),
                placements = answer.decodeList("placements", PlacementNote.serializer()),
                records = answer.decodeList("records", HistoryRecord.serializer()),
            )
        trace.timeline().forEach { console.out.println(it) }
    }

    /** Fetches the explanation from the owner node if possible, because only that node remembers times and placements. */
    private fun fetchExplanation(client: AdminClient): JsonObject {
        val path = "/v1/admin/explain/$program"
        val answer = client.get(path).asObject("explanation")
        val fleet = Fleet(client)
        val owner = fleet.nodes.find { it.node == answer.stringField("ownerNode") }
        if (owner == null || owner.dead || owner.client.address == client.address) return answer
        return try {
            owner.client.get(path).asObject("explanation")
        } catch (_: CommandExit) {
            answer
        }
    }

    private fun <T> JsonObject.decodeList(
        name: String,
        strategy: DeserializationStrategy<T>,
    ): List<T> =
        try {
            arrayField(name).map { lenientJson.decodeFromJsonElement(strategy, it) }
        } catch (e: SerializationException) {
            throw CommandExit("field '$name' of the explanation can't be decoded: ${e.message.orEmpty().lineSequence().first()}")
        }
}

/** Collects the list at [path] from all nodes and adds the node's name to each entry. */
private fun Fleet.collectEntries(
    path: String,
    console: Console,
): List<JsonObject> =
    queryAll(path).flatMap { answer ->
        if (answer.error != null) console.err.println("${answer.node}: ${answer.error}")
        (answer.body as? JsonArray).orEmpty().filterIsInstance<JsonObject>().map { JsonObject(it + ("node" to JsonPrimitive(answer.node))) }
    }

private class Unsettled : NodeCommand("unsettled", "List unsettled calls, which may or may not have run") {
    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val calls = Fleet(client).collectEntries("/v1/admin/unsettled", console)
        if (json) {
            console.print(JsonArray(calls))
            return
        }
        calls.forEach { entry ->
            val call = entry.objectField("call")
            console.out.println(
                "${call.stringField("program")} ${call.stringField("position")} ${entry.stringField("target")} " +
                    "key ${entry.stringField("key")} started ${formatInstant(entry.longField("startedMillis") ?: 0)} " +
                    "charged ${entry.objectField("charged").longField("costMicros")} micros",
            )
        }
    }
}

private class Settle : NodeCommand("settle", "Settle a call that may have run: record whether it ran and what it used") {
    private val program by parser.argument(PositionalString, "PROGRAM", "Program id")
    private val position by parser.argument(ArgType.Int, "POSITION", "Position of the call")
    private val outcome by parser
        .option(
            ArgType.String,
            "outcome",
            description = "run or notRun, according to the service's own records",
        ).required()
    private val promptTokens by parser.option(ArgType.Int, "prompt-tokens", description = "Prompt tokens used").default(0)
    private val generatedTokens by parser.option(ArgType.Int, "generated-tokens", description = "Generated tokens used").default(0)
    private val toolCalls by parser.option(ArgType.Int, "tool-calls", description = "Tool calls made").default(0)
    private val cost by parser.option(ArgType.Int, "cost-micros", description = "Cost in micros").default(0)

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        if (outcome !in listOf("run", "notRun")) throw usageError("--outcome must be run or notRun, was '$outcome'")
        if (listOf(
                position,
                promptTokens,
                generatedTokens,
                toolCalls,
                cost,
            ).any { it < 0 }
        ) {
            throw usageError("POSITION, token counts, --tool-calls and --cost-micros must not be negative")
        }
        val body =
            buildJsonObject {
                put("program", program)
                put("position", position)
                put("outcome", outcome)
                putJsonObject("usage") {
                    put("promptTokens", promptTokens)
                    put("generatedTokens", generatedTokens)
                    put("toolCalls", toolCalls)
                    put("costMicros", cost)
                }
            }
        val answer = client.post("/v1/admin/settle", body)
        if (json) console.print(answer) else console.out.println("$program/$position settled as $outcome")
    }
}

private class PoisonList : NodeCommand("poison list", "List requests that crashed servers") {
    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val marks = Fleet(client).collectEntries("/v1/admin/poison", console).groupBy { it.stringField("fingerprint") }
        if (json) {
            console.print(buildJsonArray { marks.values.forEach { add(it.first()) } })
            return
        }
        marks.forEach { (fingerprint, entries) ->
            val mark = entries.maxBy { it.longField("crashes") ?: 0 }
            val nodes = entries.joinToString(",") { it.stringField("node").orEmpty() }
            console.out.println(
                "$fingerprint crashes ${mark.longField("crashes")} last ${formatInstant(mark.longField("lastCrashMillis") ?: 0)} " +
                    "known at $nodes",
            )
        }
    }
}

/** Lifts the mark at every node that has it, because nodes spread poison marks to each other with their probes. */
private class PoisonLift : NodeCommand("poison lift", "Allow a request again that was marked for crashing servers") {
    private val fingerprint by parser.argument(PositionalString, "FINGERPRINT", "Fingerprint as shown by poison list")

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val lifted =
            Fleet(client).nodes.filter { node ->
                if (node.dead) return@filter false
                val path = "/v1/admin/poison/$fingerprint/lift"
                val answer = node.client.send(org.http4k.core.Method.POST, path, JsonObject(emptyMap()))
                if (answer.status != AdminClient.NOT_FOUND) node.client.requireSuccess(answer, path)
                answer.status != AdminClient.NOT_FOUND
            }
        if (lifted.isEmpty()) throw CommandExit("no node has a mark '$fingerprint'")
        console.out.println("$fingerprint lifted at ${lifted.joinToString(", ") { it.node }}")
    }
}
