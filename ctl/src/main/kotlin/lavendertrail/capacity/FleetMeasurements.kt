package lavendertrail.capacity

import lavendertrail.membership.MembershipSettings
import lavendertrail.model.NodeId
import lavendertrail.reducer.StoredRecord

/** Two regions share the 1,024 partitions, so one has half of them. */
private const val REGION_PARTITIONS = 512
private const val STEADY_MILLIS = 10_000L
private const val LIMIT_MILLIS = 120_000L
private val settings = MembershipSettings(partitionsInUse = REGION_PARTITIONS)

/** Nodes of one region: 210 is the size planned after two years, 420 shows the slope beyond it. */
private val fleetSizes = listOf(30, 60, 105, 210, 420)

private data class SteadyStateCost(
    val nodes: Int,
    val bytesPerSecond: Double,
    val cpuPercent: Double,
    val allocatedPerSecond: Double,
    val configSpreadMillis: Double,
)

/** Measures traffic and processor time of membership in a steady fleet, and how fast probes alone spread a change. */
internal fun measureFleet(sizes: List<Int> = fleetSizes): List<Measurement> {
    val costs = sizes.map(::steadyStateCost)
    return listOf(
        measurement(
            "membership, bytes sent and received",
            "nodes in the region",
            "bytes per node and second",
            costs.map {
                it.nodes to
                    it.bytesPerSecond
            },
        ),
        measurement(
            "membership, processor time",
            "nodes in the region",
            "percent of a core per node",
            costs.map { it.nodes to it.cpuPercent },
        ),
        measurement(
            "membership, allocation",
            "nodes in the region",
            "bytes per node and second",
            costs.map {
                it.nodes to
                    it.allocatedPerSecond
            },
        ),
        measurement(
            "a change spread by probes alone",
            "nodes in the region",
            "ms until all have it",
            costs.map {
                it.nodes to
                    it.configSpreadMillis
            },
        ),
    )
}

private fun settledFleet(nodes: Int): FleetModel {
    val fleet = FleetModel(nodes, settings)
    checkNotNull(fleet.runUntil(LIMIT_MILLIS, fleet::allOwned)) {
        "a fleet of $nodes nodes did not own all partitions within $LIMIT_MILLIS ms"
    }
    return fleet
}

private fun steadyStateCost(nodes: Int): SteadyStateCost {
    val fleet = settledFleet(nodes)
    val bytesBefore = fleet.probeBytes
    val cpuNanosBefore = fleet.cpuNanos
    val allocatedBytesBefore = fleet.allocatedBytes
    fleet.run(STEADY_MILLIS)
    val nodeSeconds = nodes * STEADY_MILLIS / 1_000.0
    val change =
        StoredRecord("owner", "barakah", """{"schemaVersion":1,"owner":"barakah","region":"region","weight":2}""", revision = 900_000)
    val bytesPerSecond = 2 * (fleet.probeBytes - bytesBefore) / nodeSeconds
    val cpuPercent = (fleet.cpuNanos - cpuNanosBefore) / 1e9 / nodeSeconds * 100
    val allocatedPerSecond = (fleet.allocatedBytes - allocatedBytesBefore) / nodeSeconds
    fleet.injectRecord(NodeId("node-1"), change)
    val spreadMillis = fleet.runUntil(LIMIT_MILLIS) { fleet.nodesWithRevision(change.revision) == nodes }
    return SteadyStateCost(nodes, bytesPerSecond, cpuPercent, allocatedPerSecond, checkNotNull(spreadMillis).toDouble())
}

/** Measures recovery from failures in one region of four failure domains; 210 nodes is the size planned after two years. */
internal fun measureFailures(nodes: Int = 210): List<FailureMeasurement> {
    val domainSize = nodes / 4
    return listOf(
        measureFailure("one host", nodes) { it.take(1) },
        measureFailure("a rack of 10 hosts", nodes) { it.take(10) },
        measureFailure("a failure domain", nodes, byDomain = true) { it.take(domainSize) },
    )
}

private fun measureFailure(
    name: String,
    nodes: Int,
    byDomain: Boolean = false,
    selectLost: (List<NodeId>) -> List<NodeId>,
): FailureMeasurement {
    val fleet = settledFleet(nodes)
    fleet.run(STEADY_MILLIS)
    val domain = fleet.failureDomainOf(fleet.nodeIds.first())
    val candidates = if (byDomain) fleet.nodeIds.filter { fleet.failureDomainOf(it) == domain } else fleet.nodeIds
    val lost = selectLost(candidates)
    val movedPartitions =
        lost.sumOf { node ->
            fleet
                .state(node)
                .membership.owned.values
                .count { it.isActive }
        }
    val writesBefore = fleet.serviceWrites
    val readsBefore = fleet.serviceReads
    val probesBefore = fleet.probes
    fleet.stop(lost)
    val recoveryMillis = fleet.runUntil(LIMIT_MILLIS, fleet::allOwned)
    return FailureMeasurement(
        failure = name,
        nodes = nodes,
        lostNodes = lost.size,
        movedPartitions = movedPartitions,
        recoveryMillis = recoveryMillis,
        serviceWrites = fleet.serviceWrites - writesBefore,
        serviceReads = fleet.serviceReads - readsBefore,
        probes = fleet.probes - probesBefore,
    )
}
