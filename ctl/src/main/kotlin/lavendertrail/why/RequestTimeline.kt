package lavendertrail.why

import kotlinx.serialization.json.JsonPrimitive
import java.time.Duration
import java.time.Instant

/*
 * Builds the timeline of a request or program from the logs of several processes: what each process decided, and which state of
 * its dependencies (configuration, store, turn hosts) it last logged before.
 */

/**
 * Events that report a process's view of its surroundings, by the aspect that they describe. A later event of an aspect replaces
 * the earlier one.
 */
private val ASPECT_OF_EVENT =
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
 * Returns the log lines that name [id] as a request or program, in the order of time. The last known view of each process
 * comes first, as of the first of these lines; later events that change the view are included at their times. Empty if no line
 * names [id].
 */
internal fun requestTimeline(
    lines: List<LogLine>,
    id: String,
): List<String> {
    val ownLines = lines.filter { it.request == id || it.program == id }
    if (ownLines.isEmpty()) return emptyList()
    val nodes = ownLines.mapTo(mutableSetOf()) { it.node }
    val servers = ownLines.flatMapTo(mutableSetOf()) { listOfNotNull(it.stringField("lastServer"), it.stringField("server")) }
    val relevant = lines.filter { it in ownLines || (it.node in nodes && it.isContext(servers)) }.sortedBy { it.time }
    val last = ownLines.maxOf { it.time }
    val first = ownLines.minOf { it.time }
    return viewsBefore(first, nodes, relevant) + relevant.filter { it.time in first..last }.map { it.describe() }
}

private fun LogLine.isContext(servers: Set<String>): Boolean =
    event in ASPECT_OF_EVENT || (event == "server removed" && stringField("server") in servers) || event == "turn host call failed"

private fun viewsBefore(
    first: Instant,
    nodes: Set<String>,
    relevant: List<LogLine>,
): List<String> =
    nodes.sorted().flatMap { node ->
        val before = relevant.filter { it.node == node && it.time < first && it.event in ASPECT_OF_EVENT }
        val lastByAspect = before.groupBy { ASPECT_OF_EVENT.getValue(it.event) }.mapValues { it.value.last() }
        if (lastByAspect.isEmpty()) {
            listOf("$node: the logs say nothing of what it believed before")
        } else {
            lastByAspect.map { (aspect, line) ->
                "$node believed, $aspect: ${line.event}${line.fieldText()}, ${Duration.between(line.time, first).toMillis()} ms before"
            }
        }
    }

private fun LogLine.describe() = "$time $node $event${fieldText()}"

private fun LogLine.fieldText(): String =
    fields.entries
        .filter { it.value != JsonPrimitive("") }
        .joinToString("") { (name, value) -> " $name=${(value as? JsonPrimitive)?.content ?: value}" }
