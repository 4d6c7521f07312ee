package lavendertrail.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.put

internal fun fleetCommands(): List<Command> = listOf(Top(), Dump())

private class Dump : NodeCommand("dump", "Print the state of a node as JSON") {
    private val all by
        parser.option(ArgType.Boolean, "all", description = "Print the state of this node and of every node that it lists").default(false)

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        if (!all) {
            console.print(client.get("/v1/admin/dump"))
            return
        }
        val answers = Fleet(client).queryAll("/v1/admin/dump")
        console.print(
            JsonArray(
                answers.map {
                    it.body
                        ?: JsonObject(mapOf("node" to JsonPrimitive(it.node), "error" to JsonPrimitive(it.error)))
                },
            ),
        )
    }
}

/** Lists each backend server once per node that sends calls to it, because each node has its own view of the server's load. */
private class Top : NodeCommand("top", "Show nodes, servers, queues and the most expensive programs") {
    private val count by parser.option(ArgType.Int, "count", description = "Number of programs to show").default(DEFAULT_COUNT)

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        if (count !in 1..MAX_COUNT) throw usageError("--count must be in 1..$MAX_COUNT, was $count")
        val fleet = Fleet(client)
        val dumps = fleet.queryAll("/v1/admin/dump")
        val programs =
            fleet
                .queryAll("/v1/admin/top?count=$count")
                .flatMap { answer -> (answer.body as? JsonArray).orEmpty().filterIsInstance<JsonObject>() }
                .sortedByDescending { it.objectField("usage").longField("costMicros") ?: 0 }
                .take(count)
        if (json) {
            console.print(
                JsonObject(mapOf("nodes" to nodesJson(dumps), "programs" to JsonArray(programs))),
            )
        } else {
            console.printTables(dumps, programs)
        }
    }

    private fun nodesJson(dumps: List<NodeResponse>): JsonArray =
        buildJsonArray {
            dumps.forEach { answer ->
                val dump = answer.body as? JsonObject
                addJsonObject {
                    put("node", answer.node)
                    put("error", answer.error)
                    put("runner", dump?.get("runner") ?: JsonNull)
                    put("dispatch", dump?.get("dispatch") ?: JsonNull)
                }
            }
        }

    private fun Console.printTables(
        dumps: List<NodeResponse>,
        programs: List<JsonObject>,
    ) {
        out.println(
            "%-16s %10s %8s %8s %10s %12s  %s".format("node", "partitions", "programs", "queued", "decisions", "median us", "state"),
        )
        dumps.forEach { out.println(nodeRow(it)) }
        out.println("%-28s %-16s %8s %6s %8s  %s".format("server", "seen by", "running", "limit", "cache %", "takes work"))
        dumps.forEach { answer -> serverRows(answer).forEach { out.println(it) } }
        dumps.forEach { answer -> queueRows(answer).forEach { out.println(it) } }
        out.println("%-40s %-20s %8s %14s".format("program", "account", "turns", "cost micros"))
        programs.forEach {
            out.println(
                "%-40s %-20s %8s %14s".format(
                    it.stringField("program"),
                    it.stringField("account"),
                    it.intField("turns"),
                    it.objectField("usage").longField("costMicros"),
                ),
            )
        }
    }

    private fun nodeRow(answer: NodeResponse): String {
        val dump = answer.body as? JsonObject ?: return "${answer.node}: ${answer.error}"
        val runner = dump.objectField("runner")
        val state =
            if (dump.booleanField("shuttingDown")) {
                "leaving"
            } else if (dump.booleanField("serviceReachable")) {
                "running"
            } else {
                "key-value service unreachable"
            }
        return "%-16s %10d %8d %8d %10d %12.1f  %s".format(
            java.util.Locale.ROOT,
            answer.node,
            dump.arrayField("ownedPartitions").size,
            dump.arrayField("programs").size,
            dump.objectField("dispatch").longField("queuedCalls") ?: 0,
            runner.longField("decisions") ?: 0,
            (runner.longField("decisionMedianNanos") ?: 0) / NANOS_PER_MICRO,
            state,
        )
    }

    private fun serverRows(answer: NodeResponse): List<String> =
        (answer.body as? JsonObject)?.objectField("dispatch")?.arrayField("servers").orEmpty().filterIsInstance<JsonObject>().map {
            "%-28s %-16s %8s %6s %8s  %s".format(
                it.stringField("server"),
                answer.node,
                it.intField("runningCalls"),
                it.intField("limit"),
                it.intField("cacheFillPercent"),
                it.booleanField("takesWork"),
            )
        }

    private fun queueRows(answer: NodeResponse): List<String> =
        (answer.body as? JsonObject)
            ?.objectField("dispatch")
            ?.objectField("queuedByTarget")
            .orEmpty()
            .map { (target, lanes) -> "queue $target at ${answer.node}: $lanes" }

    private companion object {
        const val DEFAULT_COUNT = 10
        const val MAX_COUNT = 1_000
        const val NANOS_PER_MICRO = 1e3
    }
}
