package lavendertrail.turns

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import kotlinx.serialization.json.put
import lavendertrail.gateway.StructuredLog
import lavendertrail.gateway.StoreMirror
import lavendertrail.gateway.nowMillis
import lavendertrail.ports.KeyValueService
import lavendertrail.serving.TurnHost

/**
 * Shows that this host lives by an entry under a lease, and removes hosts from the list that have shown nothing for a while.
 *
 * A host is removed only while enough others are left, that is, after a newcomer has copied everything: with fewer than
 * twice the tolerated losses and one, a lost host may still come back with the only other copy of something.
 */
internal class Liveness(
    private val service: KeyValueService,
    private val mirror: StoreMirror,
    private val directory: TurnHostDirectory,
    private val self: TurnHost,
    private val tolerance: Int,
    private val log: StructuredLog,
) {
    private var leaseId: Long? = null
    private val missingSinceMillis = mutableMapOf<String, Long>()

    fun renew() {
        val lease = leaseId
        if (lease == null || service.keepAlive(lease).get() == false) register()
        if (mirror.isCurrent) removeGone() else missingSinceMillis.clear()
    }

    private fun register() {
        leaseId = null
        val lease = service.grantLease(LEASE_MILLIS).onFailure { log.warn("lease failed", it) }.get() ?: return
        val key = TurnHostDirectory.LIVE_PREFIX + self.name
        val answer = service.swap(key, mirror[key]?.revision ?: 0, self.address, lease).onFailure { log.warn("registration failed", it) }
        if (answer.get()?.won == true) leaseId = lease
    }

    private fun removeGone() {
        val live = mirror.keys(TurnHostDirectory.LIVE_PREFIX).mapTo(mutableSetOf()) { it.removePrefix(TurnHostDirectory.LIVE_PREFIX) }
        val listing = directory.known() ?: return
        val now = nowMillis()
        missingSinceMillis.keys.retainAll { it !in live }
        listing.hosts.filter { it.name !in live }.forEach { missingSinceMillis.putIfAbsent(it.name, now) }
        val gone = listing.hosts.filter { now - (missingSinceMillis[it.name] ?: now) > GONE_MILLIS }
        val left = listing.hosts.count { it.name in live }
        // One host at a time: entry hosts whose lists differ by one host still share one for every budget.
        val removed = gone.firstOrNull() ?: return
        if (left < 2 * tolerance + 1 || live.minOrNull() != self.name) return
        directory.write(listing.hosts - removed, listing.revision).fold({ isWritten ->
            if (isWritten) log.event("turn host removed") { put("host", removed.name) }
        }, { log.warn("turn host removal failed", it) })
    }

    private companion object {
        const val LEASE_MILLIS = 3_000L

        /** On top of the lease; covers the time in which hosts renew entries that lapsed while the store was away. */
        const val GONE_MILLIS = 2_200L
    }
}
