package lavendertrail.node

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import lavendertrail.dispatch.dispatchSummary
import lavendertrail.program.partitionSummaries
import lavendertrail.program.programSummaries
import lavendertrail.reducer.NodeState

private val dumpJson = Json { encodeDefaults = true }

/** State of the process as JSON for operators, without texts and tokens of callers. */
internal fun dump(
    state: NodeState,
    stats: RunnerStats,
    serviceCalls: Map<String, Long>,
    waitingRequests: Int,
): JsonObject =
    buildJsonObject {
        put("node", state.self.node.value)
        put("region", state.self.region.value)
        put("failureDomain", state.self.failureDomain.value)
        put("incarnation", state.self.incarnation)
        put("journal", state.self.journal)
        put("shuttingDown", state.membership.shuttingDown)
        putRunner(stats, waitingRequests)
        putMembership(state)
        putConfig(state)
        put("partitions", dumpJson.encodeToJsonElement(state.partitionSummaries()))
        put("programs", dumpJson.encodeToJsonElement(state.programSummaries()))
        put("dispatch", dumpJson.encodeToJsonElement(state.dispatchSummary(System.currentTimeMillis())))
        putJsonObject("serviceCalls") { serviceCalls.toSortedMap().forEach { (kind, count) -> put(kind, count) } }
    }

private fun JsonObjectBuilder.putRunner(
    stats: RunnerStats,
    waitingRequests: Int,
) {
    putJsonObject("runner") {
        put("queueLength", stats.queueLength)
        put("decisions", stats.decisions)
        put("decisionMedianNanos", stats.decisionMedianNanos)
        put("decisionP99Nanos", stats.decisionP99Nanos)
        put("cpuNanos", stats.cpuNanos)
        put("allocatedBytes", stats.allocatedBytes)
        put("faults", stats.faults)
        put("waitingRequests", waitingRequests)
    }
}

private fun JsonObjectBuilder.putMembership(state: NodeState) {
    val membership = state.membership
    put("serviceReachable", membership.serviceReachable)
    putJsonArray("peers") {
        membership.peers.values.sortedBy { it.record.node.value }.forEach { peer ->
            addJsonObject {
                put("node", peer.record.node.value)
                put("failureDomain", peer.record.failureDomain.value)
                put("apiAddress", peer.record.apiAddress)
                put("listed", peer.listed)
                put("leaving", peer.leaving)
                put("dead", peer.record.node in membership.dead)
                put("lastHeardMillis", peer.lastHeardMillis)
            }
        }
    }
    putJsonArray("ownedPartitions") {
        membership.owned.entries.sortedBy { it.key }.forEach { (partition, owned) ->
            addJsonObject {
                put("partition", partition.index)
                put("phase", owned.phase.name.lowercase())
                put("epoch", owned.epoch)
                putJsonArray("journalNodes") {
                    membership.partitions[partition]
                        ?.record
                        ?.journalNodes
                        .orEmpty()
                        .forEach { add(it.value) }
                }
            }
        }
    }
}

private fun JsonObjectBuilder.putConfig(state: NodeState) {
    putJsonObject("config") {
        put("headRevision", state.config.headRevision)
        put("appliedAtMillis", state.config.appliedAtMillis)
        put("records", state.config.stored.size)
        putJsonObject("rejected") {
            state.config.rejected
                .toSortedMap()
                .forEach { (name, reason) -> put(name, reason) }
        }
    }
}
