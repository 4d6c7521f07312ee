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
 * While at least `2 * tolerance + 1` live hosts remain, they can make all copies without the lost host. One host fewer is enough if
 * another host has joined since the loss, or after [LOST_FOR_GOOD_MILLIS]: a lost host that stays in a short list would prevent the
 * replacement of the next one. Otherwise it is waited for, since it may return with its disk.
 */
internal class Liveness(
    private val service: KeyValueService,
    private val mirror: StoreMirror,
    private val directory: TurnHostDirectory,
    private val ownHost: TurnHost,
    private val tolerance: Int,
    private val log: StructuredLog,
    private val listChanges: ListChanges? = null,
    private val nowMillis: () -> Long = ::nowMillis,
) {
    private var leaseId: Long? = null
    private val absences = mutableMapOf<String, Absence>()

    /** The members when the host was last seen with a live entry, by name. */
    private val membersSeenWith = mutableMapOf<String, List<String>>()

    /** When the departed hosts are looked at next, and the pause after that. */
    private var nextForgetMillis = 0L
    private var forgetPauseMillis = MIN_FORGET_PAUSE_MILLIS

    fun renewLeaseAndRemoveDeadHost() {
        val lease = leaseId
        if (lease == null || service.keepAlive(lease).get() == false) register()
        if (!mirror.isCurrent) return absences.clear()
        removeDeadHost()
        if (!directory.hasDeparted) {
            forgetPauseMillis = MIN_FORGET_PAUSE_MILLIS
        } else if (directory.liveNames().minOrNull() == ownHost.name && nowMillis() >= nextForgetMillis) {
            forgetDepartedHosts()
            nextForgetMillis = nowMillis() + forgetPauseMillis
            forgetPauseMillis = (forgetPauseMillis * 2).coerceAtMost(MAX_FORGET_PAUSE_MILLIS)
        }
    }

    /** Notes that this host joins [listing], so that it counts as a replacement of members that have been lost before. */
    fun noteJoin(listing: TurnHostListing) {
        noteAbsences(listing.hosts.map { it.name }, directory.liveNames())
    }

    private fun noteAbsences(
        names: List<String>,
        liveNames: Set<String>,
    ) {
        val (live, absent) = names.partition { it in liveNames }
        live.forEach { membersSeenWith[it] = names }
        absent.forEach { absences.getOrPut(it) { Absence(nowMillis(), membersSeenWith[it] ?: names) } }
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
        val live = directory.liveNames()
        val listing = directory.cached() ?: return
        val now = nowMillis()
        val names = listing.hosts.map { it.name }
        val liveMembers = names.filter { it in live }
        absences.keys.retainAll { it !in live }
        noteAbsences(names, live)
        // Hosts are removed one at a time: quorums of entry hosts whose lists differ by one host still overlap for every budget.
        val removedHost = listing.hosts.firstOrNull { mayBeRemoved(absences[it.name] ?: return@firstOrNull false, liveMembers, now) }
        if (removedHost == null || live.minOrNull() != ownHost.name) return
        if (listChanges?.isAllowed(listing, ListChange.REMOVAL) == false || !recordDeparture(removedHost, listing)) return
        directory.removeDeadHost(removedHost, listing).fold({ isWritten ->
            if (isWritten) log.event("turn host removed") { put("host", removedHost.name) }
        }, { log.warn("turn host removal failed", it) })
    }

    private fun mayBeRemoved(
        absence: Absence,
        liveMembers: List<String>,
        nowMillis: Long,
    ): Boolean {
        val millis = nowMillis - absence.sinceMillis
        val isReplaced = liveMembers.any { it !in absence.membersBefore }
        val spareHosts = liveMembers.size - 2 * tolerance
        return when {
            millis <= REMOVAL_DELAY_MILLIS -> false
            spareHosts > 0 -> true
            else -> spareHosts == 0 && (isReplaced || millis > LOST_FOR_GOOD_MILLIS)
        }
    }

    /** Records that copies leave with [host], before it leaves; false if that couldn't be written. */
    private fun recordDeparture(
        host: TurnHost,
        listing: TurnHostListing,
    ): Boolean {
        val departed = directory.readDeparted().onFailure { log.warn("turn host removal failed", it) }.get() ?: return false
        if (departed.hosts.any { it.name == host.name && it.listRevision == listing.revision }) return true
        val pending = listing.hosts.map { it.name } - host.name
        val entry = DepartedHost(host.name, listing.revision, pending, System.currentTimeMillis())
        return directory
            .writeDeparted(departed.hosts + entry, departed.revision)
            .onFailure { log.warn("turn host removal failed", it) }
            .get() ?: false
    }

    /** Drops the departed hosts whose copies all members of that time have replaced. */
    private fun forgetDepartedHosts() {
        val listing = directory.cached() ?: return
        val departed = directory.readDeparted().onFailure { log.warn("departed turn hosts unreadable", it) }.get() ?: return
        val now = System.currentTimeMillis()
        val remaining =
            departed.hosts.filter { host ->
                val isReplaced = listChanges?.areCopiesReplaced(listing, host) ?: false
                !isReplaced && now - host.removedAtEpochMillis < DEPARTED_RETENTION_MILLIS
            }
        if (remaining.size == departed.hosts.size) return
        directory.writeDeparted(remaining, departed.revision).fold({ isWritten ->
            if (isWritten) log.event("copies of departed turn hosts replaced") { put("hosts", (departed.hosts - remaining.toSet()).size) }
        }, { log.warn("departed turn hosts not written", it) })
    }

    /** Since when a member has had no live entry, and who were the members before. */
    private data class Absence(
        val sinceMillis: Long,
        val membersBefore: List<String>,
    )

    private companion object {
        /** Many times the retention of turns, after which a copy that was lost doesn't matter any more. */
        const val DEPARTED_RETENTION_MILLIS = 3_600_000L

        /** Members settle a list within a second; one that is lost for long may not settle it at all. */
        const val MIN_FORGET_PAUSE_MILLIS = 1_000L
        const val MAX_FORGET_PAUSE_MILLIS = 60_000L

        const val LEASE_TTL_MILLIS = 3_000L

        /** In addition to the lease TTL; gives hosts time to renew entries that expired while the store was unavailable. */
        const val REMOVAL_DELAY_MILLIS = 2_200L

        /** Many times the duration of a restart. */
        const val LOST_FOR_GOOD_MILLIS = 30_000L
    }
}
