package lavendertrail.turns

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import kotlinx.serialization.json.put
import lavendertrail.gateway.StoreMirror
import lavendertrail.gateway.StructuredLog
import lavendertrail.gateway.nowMillis
import lavendertrail.ports.KeyValueService
import lavendertrail.serving.TurnHost

/**
 * Maintains the leased entry that marks this host as live, and removes hosts from the list whose entries have been missing for
 * [REMOVAL_DELAY_MILLIS].
 *
 * A host is removed only if at least `2 * tolerance + 1` live hosts remain, that is, after a replacement has copied all records:
 * with fewer hosts, the lost host may return with the only other copy of a record.
 */
internal class Liveness(
    private val service: KeyValueService,
    private val mirror: StoreMirror,
    private val directory: TurnHostDirectory,
    private val ownHost: TurnHost,
    private val tolerance: Int,
    private val log: StructuredLog,
    private val nowMillis: () -> Long = ::nowMillis,
) {
    private var leaseId: Long? = null
    private val missingSinceMillis = mutableMapOf<String, Long>()

    fun renewLeaseAndRemoveDeadHost() {
        val lease = leaseId
        if (lease == null || service.keepAlive(lease).get() == false) register()
        if (mirror.isCurrent) removeDeadHost() else missingSinceMillis.clear()
    }

    private fun register() {
        leaseId = null
        val lease = service.grantLease(LEASE_TTL_MILLIS).onFailure { log.warn("lease failed", it) }.get() ?: return
        val key = TurnHostDirectory.LIVE_PREFIX + ownHost.name
        val swapResult =
            service
                .swap(key, mirror[key]?.revision ?: 0, ownHost.address, lease)
                .onFailure { log.warn("registration failed", it) }
        if (swapResult.get()?.won == true) leaseId = lease
    }

    private fun removeDeadHost() {
        val live = mirror.keys(TurnHostDirectory.LIVE_PREFIX).mapTo(mutableSetOf()) { it.removePrefix(TurnHostDirectory.LIVE_PREFIX) }
        val listing = directory.cached() ?: return
        val now = nowMillis()
        missingSinceMillis.keys.retainAll { it !in live }
        listing.hosts.filter { it.name !in live }.forEach { missingSinceMillis.putIfAbsent(it.name, now) }
        val deadHosts = listing.hosts.filter { now - (missingSinceMillis[it.name] ?: now) > REMOVAL_DELAY_MILLIS }
        val liveHostCount = listing.hosts.count { it.name in live }
        // Hosts are removed one at a time: quorums of entry hosts whose lists differ by one host still overlap for every budget.
        val removedHost = deadHosts.firstOrNull() ?: return
        if (liveHostCount < 2 * tolerance + 1 || live.minOrNull() != ownHost.name) return
        directory.removeDeadHost(removedHost, listing).fold({ isWritten ->
            if (isWritten) log.event("turn host removed") { put("host", removedHost.name) }
        }, { log.warn("turn host removal failed", it) })
    }

    private companion object {
        const val LEASE_TTL_MILLIS = 3_000L

        /** In addition to the lease TTL; gives hosts time to renew entries that expired while the store was unavailable. */
        const val REMOVAL_DELAY_MILLIS = 2_200L
    }
}
