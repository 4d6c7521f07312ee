package lavendertrail.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/**
 * Shows the configuration revision in force at each node, and how long the last change took to reach all of them. The time is
 * computed from the nodes' clocks, so it is only as accurate as these are synchronized.
 */
internal class ConfigStatus : NodeCommand("config status", "Show the revision in force at each node") {
    private val waitMillis by
        parser.option(ArgType.Int, "wait", description = "Maximum milliseconds to wait until all nodes have the last change").default(0)

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val fleet = Fleet(client)
        val config = ConfigClient(client)
        val last = config.list(null).maxByOrNull { it.revision }
        val targetRevision = last?.revision ?: 0
        val deadlineMillis = console.clock() + waitMillis
        var answers = fleet.queryAll(PATH)
        while (!answers.all { it.revision() >= targetRevision } && console.clock() < deadlineMillis) {
            Thread.sleep(POLL_MILLIS)
            answers = fleet.queryAll(PATH)
        }
        val inForceEverywhere = answers.all { it.revision() >= targetRevision }
        val changedAtMillis =
            last?.let { config.history(it.kind, it.name).lastOrNull { change -> change.afterRevision == targetRevision }?.atMillis }
        val allAtTarget = inForceEverywhere && answers.all { it.revision() == targetRevision }
        val tookMillis = if (changedAtMillis != null && allAtTarget) answers.maxOf { it.appliedAtMillis() } - changedAtMillis else null
        val status = Status(answers, last, inForceEverywhere, tookMillis)
        if (json) console.print(status.toJson()) else status.print(console)
        if (!inForceEverywhere) throw CommandExit("revision $targetRevision is not in force at all nodes")
    }

    private class Status(
        val answers: List<NodeResponse>,
        val last: CurrentRecord?,
        val inForceEverywhere: Boolean,
        val tookMillis: Long?,
    ) {
        fun print(console: Console) {
            answers.forEach { answer ->
                val body = answer.body as? JsonObject
                if (body == null) {
                    console.out.println("${answer.node} no answer: ${answer.error}")
                } else {
                    console.out.println("${answer.node} revision ${answer.revision()} since ${formatInstant(answer.appliedAtMillis())}")
                    body.objectField("rejected").forEach { (record, reason) -> console.out.println("  rejected $record: $reason") }
                }
            }
            if (last != null) {
                console.out.println("last change ${last.id}, revision ${last.revision}, in force everywhere: $inForceEverywhere")
            }
            if (tookMillis != null) console.out.println("in force everywhere $tookMillis ms after the change")
        }

        fun toJson(): JsonObject =
            buildJsonObject {
                putJsonArray("nodes") {
                    answers.forEach { answer ->
                        addJsonObject {
                            put("node", answer.node)
                            put("status", answer.body ?: JsonNull)
                            put("error", answer.error)
                        }
                    }
                }
                put("lastChange", last?.id)
                put("revision", last?.revision)
                put("inForceEverywhere", inForceEverywhere)
                put("tookMillis", tookMillis)
            }
    }

    private companion object {
        const val PATH = "/v1/admin/config-status"
        const val POLL_MILLIS = 50L

        fun NodeResponse.revision(): Long = (body as? JsonObject)?.longField("revision") ?: -1

        fun NodeResponse.appliedAtMillis(): Long = (body as? JsonObject)?.longField("appliedAtMillis") ?: 0
    }
}
