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
 * The revision in force at each node, and how long the last change took until it was in force at all of them. That
 * time is taken from the nodes' clocks, so it is as exact as they agree.
 */
internal class ConfigStatus : NodeCommand("config status", "Show the revision in force at each node") {
    private val waitMillis by
        parser.option(ArgType.Int, "wait", description = "Milliseconds to wait until all nodes have the last change").default(0)

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val fleet = Fleet(client)
        val config = ConfigClient(client)
        val last = config.list(null).maxByOrNull { it.revision }
        val target = last?.revision ?: 0
        val until = console.clock() + waitMillis
        var answers = fleet.ask(PATH)
        while (!answers.all { it.revision() >= target } && console.clock() < until) {
            Thread.sleep(POLL_MILLIS)
            answers = fleet.ask(PATH)
        }
        val everywhere = answers.all { it.revision() >= target }
        val changedAt = last?.let { config.history(it.kind, it.name).lastOrNull { change -> change.afterRevision == target }?.atMillis }
        val exact = everywhere && answers.all { it.revision() == target }
        val tookMillis = if (changedAt != null && exact) answers.maxOf { it.appliedAt() } - changedAt else null
        val status = Status(answers, last, everywhere, tookMillis)
        if (json) console.print(status.toJson()) else status.print(console)
        if (!everywhere) throw CommandEnd("revision $target is not in force at all nodes")
    }

    private class Status(
        val answers: List<NodeAnswer>,
        val last: StandingRecord?,
        val everywhere: Boolean,
        val tookMillis: Long?,
    ) {
        fun print(console: Console) {
            answers.forEach { answer ->
                val body = answer.body as? JsonObject
                if (body == null) {
                    console.out.println("${answer.node} no answer: ${answer.error}")
                } else {
                    console.out.println("${answer.node} revision ${answer.revision()} since ${instant(answer.appliedAt())}")
                    body.child("rejected").forEach { (record, reason) -> console.out.println("  rejected $record: $reason") }
                }
            }
            if (last != null) console.out.println("last change ${last.id}, revision ${last.revision}, in force everywhere: $everywhere")
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
                put("inForceEverywhere", everywhere)
                put("tookMillis", tookMillis)
            }
    }

    private companion object {
        const val PATH = "/v1/admin/config-status"
        const val POLL_MILLIS = 50L

        fun NodeAnswer.revision(): Long = (body as? JsonObject)?.number("revision") ?: -1

        fun NodeAnswer.appliedAt(): Long = (body as? JsonObject)?.number("appliedAtMillis") ?: 0
    }
}
