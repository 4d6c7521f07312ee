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

private val lenient = Json { ignoreUnknownKeys = true }

private class Explain : NodeCommand("explain", "Show what happened to each call of a program and why") {
    private val program by parser.argument(Word, "PROGRAM", "Program id")

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val answer = atOwner(client)
        if (json) {
            console.print(answer)
            return
        }
        val trace =
            ProgramTrace(
                program = answer.text("program") ?: program,
                ownerNode = answer.text("ownerNode"),
                calls = answer.read("calls", CallSummary.serializer()),
                placements = answer.read("placements", PlacementNote.serializer()),
                records = answer.read("records", HistoryRecord.serializer()),
            )
        trace.timeline().forEach { console.out.println(it) }
    }

    /** Only the owner node remembers times and placements. */
    private fun atOwner(client: AdminClient): JsonObject {
        val path = "/v1/admin/explain/$program"
        val answer = client.get(path).asObject("explanation")
        val fleet = Fleet(client)
        val owner = fleet.nodes.find { it.node == answer.text("ownerNode") }
        if (owner == null || owner.dead || owner.client.address == client.address) return answer
        return try {
            owner.client.get(path).asObject("explanation")
        } catch (_: CommandEnd) {
            answer
        }
    }

    private fun <T> JsonObject.read(
        name: String,
        strategy: DeserializationStrategy<T>,
    ): List<T> =
        try {
            list(name).map { lenient.decodeFromJsonElement(strategy, it) }
        } catch (e: SerializationException) {
            throw CommandEnd("field '$name' of the explanation can't be read: ${e.message.orEmpty().lineSequence().first()}")
        }
}

/** Entries of lists that each node has for itself, with the node's name. */
private fun Fleet.gather(
    path: String,
    console: Console,
): List<JsonObject> =
    ask(path).flatMap { answer ->
        if (answer.error != null) console.err.println("${answer.node}: ${answer.error}")
        (answer.body as? JsonArray).orEmpty().filterIsInstance<JsonObject>().map { JsonObject(it + ("node" to JsonPrimitive(answer.node))) }
    }

private class Unsettled : NodeCommand("unsettled", "List calls that may have run and that nobody has settled") {
    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val calls = Fleet(client).gather("/v1/admin/unsettled", console)
        if (json) {
            console.print(JsonArray(calls))
            return
        }
        calls.forEach { entry ->
            val call = entry.child("call")
            console.out.println(
                "${call.text("program")} ${call.text("position")} ${entry.text("target")} key ${entry.text("key")} " +
                    "started ${instant(entry.number("startedMillis") ?: 0)} charged ${entry.child("charged").number("costMicros")} micros",
            )
        }
    }
}

private class Settle : NodeCommand("settle", "State whether a call that may have run did run") {
    private val program by parser.argument(Word, "PROGRAM", "Program id")
    private val position by parser.argument(ArgType.Int, "POSITION", "Position of the call")
    private val outcome by parser
        .option(
            ArgType.String,
            "outcome",
            description = "run or notRun, as the service's own books say",
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
            throw usageError("numbers must not be negative")
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
        val marks = Fleet(client).gather("/v1/admin/poison", console).groupBy { it.text("fingerprint") }
        if (json) {
            console.print(buildJsonArray { marks.values.forEach { add(it.first()) } })
            return
        }
        marks.forEach { (fingerprint, entries) ->
            val mark = entries.maxBy { it.number("crashes") ?: 0 }
            val nodes = entries.joinToString(",") { it.text("node").orEmpty() }
            console.out.println(
                "$fingerprint crashes ${mark.number("crashes")} last ${instant(mark.number("lastCrashMillis") ?: 0)} known at $nodes",
            )
        }
    }
}

/** Marks spread between nodes with their probes, so a mark is lifted at each node that has it. */
private class PoisonLift : NodeCommand("poison lift", "Allow a request that was held to crash servers") {
    private val fingerprint by parser.argument(Word, "FINGERPRINT", "As poison list shows it")

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val lifted =
            Fleet(client).nodes.filter { node ->
                if (node.dead) return@filter false
                val path = "/v1/admin/poison/$fingerprint/lift"
                val answer = node.client.send(org.http4k.core.Method.POST, path, JsonObject(emptyMap()))
                if (answer.status != AdminClient.NOT_FOUND) node.client.check(answer, path)
                answer.status != AdminClient.NOT_FOUND
            }
        if (lifted.isEmpty()) throw CommandEnd("no node has a mark '$fingerprint'")
        console.out.println("$fingerprint lifted at ${lifted.joinToString(", ") { it.node }}")
    }
}
