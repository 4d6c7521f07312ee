package lavendertrail.why

import kotlinx.serialization.json.JsonPrimitive
import java.time.Duration
import java.time.Instant

/*
 * The story of a request or program from the logs of several processes: what each of them decided, and what it believed then.
 */

/** Lines that change what a process believes, with the fields that tell one belief from another. */
private val BELIEFS =
    mapOf(
        "starting" to "process",
        "configuration read" to "configuration",
        "store reached" to "store",
        "store lost" to "store",
        "turn hosts read" to "turn hosts",
        "turn hosts reached" to "way to turn hosts",
        "turn hosts lost" to "way to turn hosts",
        "turn calls relayed" to "turn calls",
        "turn calls direct" to "turn calls",
        "settings read" to "settings",
        "log lines dropped" to "log",
    )

/**
 * The lines of [lines] that name [id] as a request or a program, in the order of time, each process's beliefs before its first
 * line. Changes of belief between lines are in their places. Empty where no line names [id].
 */
internal fun tellStory(
    lines: List<LogLine>,
    id: String,
): List<String> {
    val own = lines.filter { it.request == id || it.program == id }
    if (own.isEmpty()) return emptyList()
    val nodes = own.mapTo(mutableSetOf()) { it.node }
    val servers = own.flatMapTo(mutableSetOf()) { listOfNotNull(it.text("lastServer"), it.text("server")) }
    val relevant = lines.filter { it in own || (it.node in nodes && it.isAbout(servers)) }.sortedBy { it.time }
    val last = own.maxOf { it.time }
    val first = own.minOf { it.time }
    return beliefsAt(first, nodes, relevant) + relevant.filter { it.time in first..last }.map { it.describe() }
}

private fun LogLine.isAbout(servers: Set<String>): Boolean =
    event in BELIEFS || (event == "server removed" && text("server") in servers) || event == "turn host call failed"

private fun beliefsAt(
    first: Instant,
    nodes: Set<String>,
    relevant: List<LogLine>,
): List<String> =
    nodes.sorted().flatMap { node ->
        val before = relevant.filter { it.node == node && it.time < first && it.event in BELIEFS }
        val beliefs = before.groupBy { BELIEFS.getValue(it.event) }.mapValues { it.value.last() }
        if (beliefs.isEmpty()) {
            listOf("$node: the logs say nothing of what it believed before")
        } else {
            beliefs.map { (belief, line) ->
                "$node believed, $belief: ${line.event}${line.fieldText()}, ${Duration.between(line.time, first).toMillis()} ms before"
            }
        }
    }

private fun LogLine.describe() = "$time $node $event${fieldText()}"

private fun LogLine.fieldText(): String =
    fields.entries
        .filter { it.value != JsonPrimitive("") }
        .joinToString("") { (name, value) -> " $name=${(value as? JsonPrimitive)?.content ?: value}" }
