package lavendertrail.capacity

import lavendertrail.membership.MembershipSettings
import lavendertrail.model.NodeId
import lavendertrail.reducer.StoredRecord

/** Half of the 1,024 partitions: two regions share them. */
private const val REGION_PARTITIONS = 512
private const val STEADY_MILLIS = 10_000L
private const val LIMIT_MILLIS = 120_000L
private val settings = MembershipSettings(partitionsInUse = REGION_PARTITIONS)

/** Nodes of one region: 210 at the two-year size, 420 to see the slope beyond it. */
private val fleetSizes = listOf(30, 60, 105, 210, 420)

private data class SteadyCost(
    val nodes: Int,
    val bytesPerSecond: Double,
    val cpuPercent: Double,
    val allocatedPerSecond: Double,
    val configMillis: Double,
)

/** Traffic and processor time of membership in a steady fleet, and the spread of a change by probes alone. */
internal fun measureFleet(sizes: List<Int> = fleetSizes): List<Measurement> {
    val costs = sizes.map(::steadyCost)
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
                    it.configMillis
            },
        ),
    )
}

private fun settledFleet(nodes: Int): FleetModel {
    val fleet = FleetModel(nodes, settings)
    checkNotNull(fleet.runUntil(LIMIT_MILLIS, fleet::allOwned)) { "a fleet of $nodes nodes did not settle" }
    return fleet
}

private fun steadyCost(nodes: Int): SteadyCost {
    val fleet = settledFleet(nodes)
    val bytes = fleet.probeBytes
    val cpu = fleet.cpuNanos
    val allocated = fleet.allocatedBytes
    fleet.run(STEADY_MILLIS)
    val nodeSeconds = nodes * STEADY_MILLIS / 1_000.0
    val change =
        StoredRecord("owner", "barakah", """{"schemaVersion":1,"owner":"barakah","region":"region","weight":2}""", revision = 900_000)
    val bytesPerSecond = 2 * (fleet.probeBytes - bytes) / nodeSeconds
    val cpuPercent = (fleet.cpuNanos - cpu) / 1e9 / nodeSeconds * 100
    val allocatedPerSecond = (fleet.allocatedBytes - allocated) / nodeSeconds
    fleet.change(NodeId("node-1"), change)
    val spread = fleet.runUntil(LIMIT_MILLIS) { fleet.nodesWithRevision(change.revision) == nodes }
    return SteadyCost(nodes, bytesPerSecond, cpuPercent, allocatedPerSecond, checkNotNull(spread).toDouble())
}

/** The failures of the two-year target in one region of 210 nodes in four failure domains. */
internal fun measureFailures(nodes: Int = 210): List<FailureMeasurement> {
    val domainSize = nodes / 4
    return listOf(
        failure("one host", nodes) { it.take(1) },
        failure("a rack of 10 hosts", nodes) { it.take(10) },
        failure("a failure domain", nodes, byDomain = true) { it.take(domainSize) },
    )
}

private fun failure(
    name: String,
    nodes: Int,
    byDomain: Boolean = false,
    choose: (List<NodeId>) -> List<NodeId>,
): FailureMeasurement {
    val fleet = settledFleet(nodes)
    fleet.run(STEADY_MILLIS)
    val domain = fleet.failureDomainOf(fleet.names.first())
    val candidates = if (byDomain) fleet.names.filter { fleet.failureDomainOf(it) == domain } else fleet.names
    val lost = choose(candidates)
    val moved =
        lost.sumOf { node ->
            fleet
                .state(node)
                .membership.owned.values
                .count { it.isActive }
        }
    val writes = fleet.serviceWrites
    val reads = fleet.serviceReads
    val probes = fleet.probes
    fleet.stop(lost)
    val recoveryMillis = fleet.runUntil(LIMIT_MILLIS, fleet::allOwned)
    return FailureMeasurement(
        failure = name,
        nodes = nodes,
        lostNodes = lost.size,
        movedPartitions = moved,
        recoveryMillis = recoveryMillis,
        serviceWrites = fleet.serviceWrites - writes,
        serviceReads = fleet.serviceReads - reads,
        probes = fleet.probes - probes,
    )
}
