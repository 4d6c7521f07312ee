package lavendertrail.turns

import com.github.michaelbull.result.fold
import io.grpc.Server
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.json.put
import lavendertrail.gateway.StoreMirror
import lavendertrail.gateway.StoreWatcher
import lavendertrail.gateway.StructuredLog
import lavendertrail.gateway.nowMillis
import lavendertrail.gateway.socketAddress
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValueService
import lavendertrail.serving.TurnHost
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * The process of a turn host: stores turns and budget use on its disk, copies missing records from the other turn hosts, and
 * registers itself in the platform's store.
 */
public class TurnStore(
    private val settings: TurnStoreSettings,
    private val group: EventLoopGroup,
    private val service: KeyValueService,
    private val log: StructuredLog,
    private val retirementRequests: RetirementRequests,
) {
    private val loop = group.next()
    private val ownHost = TurnHost(settings.nodeName, settings.address, settings.failureDomain)
    private val repository = TurnRepository(settings.folder, loop, System::currentTimeMillis, ::logDiskFailure, ::logUnreadable)
    private val crashNoticeFile = CrashNoticeFile(settings.folder, loop, System::currentTimeMillis, ::logDiskFailure)
    private val mirror = StoreMirror()
    private val directory = TurnHostDirectory(service, mirror)
    private val knownHosts = KnownHosts(settings.folder)
    private val listTrustMillis = LIST_TRUST_WAITS * settings.storeWatchWaitMillis
    private val quotaHolder = QuotaHolder(ownHost, listTrustMillis, ::nowMillis)
    private val lists = ListHistory(ownHost, listTrustMillis, ::nowMillis)
    private val permits = RequestPermits(::nowMillis, ::shareOfLimit)
    private val watcher =
        StoreWatcher(
            service,
            log,
            mirror.listener().andThen(::adoptCachedList).onHeard(quotaHolder::confirm),
            settings.storeWatchPauseMillis,
            settings.storeWatchWaitMillis,
        )
    private val copier = TurnCopier(ownHost, repository, group)
    private val repair = RecordRepair(ownHost, repository, group, settings.diskTolerance, log)
    private val listChanges = ListChanges(ownHost, knownHosts, directory, settings.diskTolerance, group, log)
    private val liveness = Liveness(service, mirror, directory, ownHost, settings.diskTolerance, log, listChanges)
    private var server: Server? = null

    /** Signals the repair thread that a newer list of hosts is known. */
    private val newLists = Semaphore(0)

    /** Whether the host waits for the members to settle the list that it joins. */
    private var isJoinDelayed = false

    private var hasJoined = false

    @Volatile
    private var isStopping = false

    public fun start() {
        runOnLoop { repository.open() }
        knownHosts.load()
        if (settings.isFirstStart && !repository.isComplete && !repository.isDamaged) runOnLoop { repository.markComplete() }
        log.event("disk opened") {
            put("turns", repository.turnCount)
            put("programs", repository.programCount)
            put("complete", repository.isComplete)
        }
        server =
            startTurnServer(
                repository,
                knownHosts,
                ::exchangeListState,
                crashNoticeFile,
                quotaHolder,
                permits,
                socketAddress(settings.address),
                group,
            )
        loop.scheduleAtFixedRate({ repository.removeExpired() }, EXPIRY_INTERVAL_MILLIS, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        watcher.start()
        thread(name = "turn-store", isDaemon = true) { maintain() }
        thread(name = "turn-repair", isDaemon = true) { repairAfterChanges() }
    }

    /** After a change of the list, entry hosts that don't know it yet may get the whole limit from the host that paced the server. */
    private fun shareOfLimit(serverId: String): Double {
        lists.adopt(knownHosts.listing)
        return if (lists.isOnlyHolder(serverId)) 1.0 else TAKEOVER_SHARE
    }

    private fun logDiskFailure(message: String) {
        log.event("disk failed") { put("error", message) }
    }

    private fun logUnreadable(part: UnreadablePart) {
        log.event("log file not read whole") {
            put("file", part.file)
            put("bytes", part.bytes)
            put("undecodedRecords", part.undecodedRecords)
            put("tornEnd", part.isEndOfNewest)
        }
    }

    private fun adoptCachedList() {
        directory.cached()?.let(::adopt)
    }

    private fun adopt(listing: TurnHostListing) {
        if (knownHosts.adopt(listing)) newLists.release()
    }

    /** Adopts the list that another turn host announces, and tells it what this host knows. */
    private fun exchangeListState(request: ListStateRequest): ListStateReply {
        decodeListing(request.list)?.let(::adopt)
        return knownHosts.state
    }

    /** Restores the number of copies of all records after each change of the list of hosts. */
    private fun repairAfterChanges() {
        while (!isStopping) {
            newLists.tryAcquire(REPAIR_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
            newLists.drainPermits()
            try {
                settleList()
            } catch (e: Exception) {
                log.error("repair of records failed", e)
            }
        }
    }

    private fun settleList() {
        val listing = knownHosts.listing
        if (knownHosts.isSettled || ownHost !in listing.hosts) return
        knownHosts.save()
        if (repair.repair(listing)) knownHosts.settle(listing.revision)
    }

    /** Joins the other turn hosts, then renews the registration and removes dead hosts. */
    private fun maintain() {
        val retirement =
            Retirement(
                ownHost = ownHost,
                group = group,
                repository = repository,
                directory = directory,
                isRequestedByOperator = { retirementRequests.isRequested(mirror) },
                reportStatus = retirementRequests.report,
                log = log,
                mayLeave = { listChanges.isAllowed(it, ListChange.RETIREMENT) },
            )
        while (!isStopping) {
            try {
                val isMember =
                    directory
                        .cached()
                        ?.hosts
                        .orEmpty()
                        .any { it == ownHost }
                if (!retirement.isRequested && (!isMember || !repository.isComplete)) joinTurnHosts()
                if (!retirement.isDone) liveness.renewLeaseAndRemoveDeadHost()
                retirement.advance()
            } catch (e: Exception) {
                log.error("turn store maintenance failed", e)
            }
            Thread.sleep(if (isJoinDelayed) JOIN_RETRY_MILLIS else MAINTENANCE_INTERVAL_MILLIS)
        }
    }

    private fun joinTurnHosts() {
        isJoinDelayed = false
        val listing = directory.read().fold({ it }, { return log.warn("turn host list unreadable", it) })
        val others = listing.hosts.filter { it.name != ownHost.name }
        val isMember = listing.hosts.any { it.name == ownHost.name }
        val needsCopy = !isMember || !repository.isComplete
        // At the first start of the whole system there is nothing to copy, and the hosts join at the same moment; a host that was
        // removed later has missed records.
        val isFirstJoin = settings.isFirstStart && !hasJoined && !repository.isDamaged
        if (needsCopy && !isFirstJoin && !copyRecords(others, isMember)) return
        if (!repository.isComplete) runOnLoop { repository.markComplete() }
        hasJoined = hasJoined || isMember
        if (ownHost in listing.hosts) return
        isJoinDelayed = !isFirstJoin && listing.hosts.isNotEmpty() && !listChanges.isAllowed(listing, ListChange.JOIN)
        if (isJoinDelayed) return
        liveness.noteJoin(listing)
        directory.write(others + ownHost, listing.revision).fold({ isWritten ->
            hasJoined = hasJoined || isWritten
            if (isWritten) log.event("joined turn hosts") { put("hosts", (others + ownHost).joinToString(",") { it.name }) }
        }, { log.warn("joining turn hosts failed", it) })
    }

    private fun logCopyFailure(error: StepError): Boolean {
        log.warn("copying a turn host failed", error)
        return false
    }

    /**
     * Copies the records of [others]; false if too few of them could be copied. Each record is stored on more hosts than may be
     * lost at once, so that many hosts may fail to be copied. For a member, the loss of its own disk counts as one of these losses.
     */
    private fun copyRecords(
        others: List<TurnHost>,
        isMember: Boolean,
    ): Boolean {
        val required = requiredSources(others.size, settings.diskTolerance, isMember)
        val copied = others.count { other -> copier.copy(other).fold({ true }, { logCopyFailure(it) }) }
        log.event("copied turn hosts") {
            put("copied", copied)
            put("needed", required)
        }
        return copied >= required
    }

    private fun runOnLoop(task: () -> Unit) {
        loop.submit(task).get()
    }

    /** Hands over the records if this host may be removed from the list, ends calls in progress and writes accepted records to disk. */
    public fun stop() {
        isStopping = true
        if (canBeRemoved()) handOver()
        close()
    }

    /** A host of a list without spare members stays listed until it is back, so that its copies aren't needed elsewhere. */
    private fun canBeRemoved(): Boolean {
        val hosts = knownHosts.listing.hosts
        return ownHost in hosts && hosts.size > 2 * settings.diskTolerance + 1 && repository.isComplete
    }

    /** Refuses further records, so that those handed over are all of this host. */
    private fun handOver() {
        try {
            runOnLoop { repository.seal() }
            repair.handOver(knownHosts.listing)
        } catch (e: Exception) {
            log.error("handing over records failed", e)
        }
    }

    /** Ends calls in progress and writes accepted records to disk, as far as the process has time for it. */
    internal fun close() {
        isStopping = true
        server?.shutdown()?.awaitTermination(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        repository.close()
    }

    private companion object {
        const val EXPIRY_INTERVAL_MILLIS = 2_000L

        /** Between attempts to repair records that still have too few copies. */
        const val REPAIR_INTERVAL_MILLIS = 500L

        /** One third of the liveness lease TTL. */
        const val MAINTENANCE_INTERVAL_MILLIS = 1_000L

        /** About the time in which members settle a new list. */
        const val JOIN_RETRY_MILLIS = 200L
        const val SHUTDOWN_TIMEOUT_MILLIS = 500L

        /** Together with a whole limit no more than the half that servers have in reserve. */
        const val TAKEOVER_SHARE = 0.5

        /** One late answer of the store doesn't end the trust in the list of hosts. */
        const val LIST_TRUST_WAITS = 2
    }
}

/** The number of [others] that a host must copy before it has all records that it should have. */
internal fun requiredSources(
    others: Int,
    tolerance: Int,
    isMember: Boolean,
): Int = (others - if (isMember) tolerance - 1 else tolerance).coerceAtLeast(0)
