package lavendertrail.serving

import lavendertrail.membership.mix
import lavendertrail.membership.stableHash
import lavendertrail.model.FailureDomain

/**
 * The order in which hosts are chosen to store the data of [programId]. Uses rendezvous hashing, where each next host comes from
 * a failure domain with the fewest hosts chosen so far, so that copies fail independently.
 */
public fun rankTurnHosts(
    programId: String,
    hosts: List<TurnHost>,
): List<TurnHost> {
    val program = stableHash(programId)
    val remaining = hosts.sortedByDescending { mix(program xor stableHash(it.name)) }.toMutableList()
    val chosenByDomain = mutableMapOf<FailureDomain, Int>()
    return buildList {
        while (remaining.isNotEmpty()) {
            val next = remaining.minBy { chosenByDomain[it.failureDomain] ?: 0 }
            remaining.remove(next)
            chosenByDomain.merge(next.failureDomain, 1, Int::plus)
            add(next)
        }
    }
}
