package lavendertrail.membership

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import kotlin.math.ceil

/** Upper bound for the partitions of one node, as a multiple of the mean. */
private const val MAX_LOAD_FACTOR = 1.25

/**
 * Assigns each of [partitions] to one of [nodes] by rendezvous hashing with bounded loads. Nodes that agree on the live
 * nodes compute the same owners, and a node that joins or leaves moves only about its own share of the partitions.
 */
internal fun desiredOwners(
    partitions: List<PartitionId>,
    nodes: List<NodeId>,
): Map<PartitionId, NodeId> {
    if (nodes.isEmpty()) return emptyMap()
    val maxLoad = ceil(MAX_LOAD_FACTOR * partitions.size / nodes.size).toInt()
    val seeds = LongArray(nodes.size) { stableHash(nodes[it].value) }
    val loads = IntArray(nodes.size)
    return partitions.associateWith { partition ->
        val chosen = highestScore(seeds, loads, maxLoad, mix(partition.index.toLong()))
        loads[chosen]++
        nodes[chosen]
    }
}

/** Returns the index of the node with the highest score among those with a load below [maxLoad]. */
private fun highestScore(
    seeds: LongArray,
    loads: IntArray,
    maxLoad: Int,
    key: Long,
): Int {
    var chosen = -1
    var highest = Long.MIN_VALUE
    for (index in seeds.indices) {
        val score = mix(seeds[index] xor key)
        if (loads[index] < maxLoad && (chosen < 0 || score > highest)) {
            chosen = index
            highest = score
        }
    }
    return chosen
}

/** Sorts nodes by their rendezvous score for the journal of [partition], highest first. */
internal fun List<NodeRecord>.rankedFor(partition: PartitionId): List<NodeRecord> =
    sortedByDescending { mix(stableHash(it.node.value) xor mix(partition.index.toLong() + JOURNAL_SALT)) }

/** Makes the ranking of journal nodes independent of the ranking of owners. */
private const val JOURNAL_SALT = 1_000_003L

/** FNV-1a hash of [text]. Unlike [Any.hashCode], it is the same in every process and release. */
internal fun stableHash(text: String): Long = text.fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }

private const val FNV_OFFSET = -3_750_763_034_362_895_579L
private const val FNV_PRIME = 1_099_511_628_211L

/** The SplitMix64 mixing function. */
internal fun mix(value: Long): Long {
    var mixed = value + -7_046_029_254_386_353_131L
    mixed = (mixed xor (mixed ushr 30)) * -4_658_895_280_553_007_687L
    mixed = (mixed xor (mixed ushr 27)) * -7_723_592_293_110_705_685L
    return mixed xor (mixed ushr 31)
}
