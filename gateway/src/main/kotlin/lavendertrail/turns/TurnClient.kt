package lavendertrail.turns

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.grpc.MethodDescriptor
import io.grpc.StatusRuntimeException
import io.netty.channel.EventLoopGroup
import lavendertrail.gateway.socketAddress
import lavendertrail.model.FailureDomain
import lavendertrail.model.StepError
import lavendertrail.serving.BudgetTally
import lavendertrail.serving.CrashEvidence
import lavendertrail.serving.ReservationResult
import lavendertrail.serving.StatedLimit
import lavendertrail.serving.TurnHost
import lavendertrail.serving.rankTurnHosts
import java.io.ByteArrayInputStream
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * Stores and looks up turns and budget use at the turn hosts. All calls and results are on the event loop.
 *
 * Hosts in the own failure domain are called first and unresponsive hosts last. If a host takes longer than
 * [HEDGE_DELAY_MILLIS], the next one is called as well.
 */
internal class TurnClient(
    private val loop: EventLoopGroup,
    private val ownFailureDomain: FailureDomain,
    cacheBytes: Long,
    private val resolveAddress: (address: String) -> InetSocketAddress = ::socketAddress,
    /** Reads the current list of turn hosts from the platform's store, which takes a call; null if it can't be read. */
    readCurrentHosts: (onResult: (CurrentTurnHosts?) -> Unit) -> Unit = { it(null) },
    /** Called with the limits of servers that other entry hosts have reported. */
    private val onLimitsLearnt: (List<StatedLimit>) -> Unit = {},
    /** Called with what other entry hosts have reported about requests that may crash servers. */
    private val onCrashEvidenceLearnt: (List<CrashEvidence>) -> Unit = {},
    /** Called with the address of a turn host that may lack what this process knows about such requests. */
    private val onCrashReportsMissed: (address: String) -> Unit = {},
    /** Called when a turn host has told a newer list. */
    private val onHostsLearnt: (TurnHosts) -> Unit = {},
    internal val onCallFailure: (StepError) -> Unit,
) : AutoCloseable {
    var hosts = TurnHosts()
        private set
    private val peersByHost = mutableMapOf<TurnHost, TurnPeer>()
    private val relayedCalls = RelayedCalls(loop, ::adopt)
    private val meetings = HostMeetings(relayedCalls::addRelayAddresses, onCrashEvidenceLearnt, onCrashReportsMissed, onCallFailure)
    internal val cache = TurnCache(cacheBytes)
    internal val currentHosts = CurrentHostsCheck(loop, readCurrentHosts)
    private val pendingSettlements = PendingSettlements()

    /** Number of calls made in place of hosts that had not replied within [HEDGE_DELAY_MILLIS]. */
    var hedgedCallCount = 0L
        private set

    /** Whether settlements wait for the next reservation of their program; not in a process that is shutting down. */
    private var delaysSettlements = true

    /** Whether enough hosts respond to store turns and budgets. If not, lookups fail at once instead of at their timeout. */
    val isReachable: Boolean get() = hosts.isSufficient && hosts.hosts.count(::isUsable) >= hosts.quorum

    /** Whether calls are relayed by other entry hosts, because too few turn hosts respond to this process directly. */
    val isRelayed: Boolean get() = relayedCalls.hasRelayAddresses && peersByHost.values.count { !it.isUnresponsive } < hosts.quorum

    /** Whether turn hosts are known, but too few of them respond. */
    val isCutOff: Boolean get() = hosts.hosts.isNotEmpty() && !isReachable

    val hasRelayAddresses: Boolean get() = relayedCalls.hasRelayAddresses

    /** Relays calls of other entry hosts to the turn hosts that respond to this process. */
    val relay = TurnRelay { address -> peersByHost.values.firstOrNull { it.address == address && !it.isUnresponsive } }

    internal fun isUsable(host: TurnHost) = peersByHost[host]?.isUnresponsive == false || relayedCalls.hasRecentReply(host.address)

    /** Calls the unresponsive hosts, directly and, while calls are relayed, through other entry hosts. */
    fun probeUnresponsive() {
        val request = ChainRequest("")
        val isRelayed = isRelayed
        for (peer in peersByHost.values.filter { it.isUnresponsive }) {
            peer.call(TurnMethods.chain, request, PROBE_TIMEOUT_MILLIS) { result -> result.fold({}, onCallFailure) }
            if (isRelayed) {
                relayedCalls.call(peer.address, TurnMethods.chain, request, PROBE_TIMEOUT_MILLIS, hosts.revision) { result ->
                    result.fold({}, onCallFailure)
                }
            }
        }
    }

    /** Whether all turn hosts that respond have told what was reported before this process connected to them. */
    val areCrashReportsKnown: Boolean get() = peersByHost.values.all { meetings.isMet(it) || it.isUnresponsive }

    /** Announces this process's relay address to the turn hosts and gets the relay addresses of other entry hosts. */
    fun exchangeRelayAddresses(relayAddress: String) {
        for (peer in peersByHost.values.filter { !it.isUnresponsive }) meetings.meet(peer, relayAddress) {}
    }

    /**
     * Asks the turn hosts that this process hasn't met since it connected to them what was reported before, since messages that they
     * sent meanwhile are lost. [relayAddress] is null while nothing listens there. Calls [onMet] after each reply or failure.
     */
    fun meetNewConnections(
        relayAddress: String?,
        onMet: () -> Unit,
    ) {
        val newPeers = peersByHost.values.filter { !it.isUnresponsive && !meetings.isMet(it) && !meetings.isPending(it) }
        for (peer in newPeers) meetings.meet(peer, relayAddress.orEmpty(), onMet)
    }

    /** Notes that the turn host at [address] has missed a report, so that it gets all of them once it responds. */
    internal fun recordMissedReport(address: String) = meetings.forgetRun(address)

    /** Calls [host], through another entry host if it doesn't respond directly. */
    internal fun <Q : Any, R : Any> call(
        host: TurnHost,
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long,
        listRevision: Long = hosts.revision,
        onResult: (Result<R, StepError>) -> Unit,
    ) {
        val peer = peersByHost[host]
        if (peer == null) {
            onResult(Err(StepError(method.bareMethodName.orEmpty(), host.address, "not a turn host any more")))
        } else {
            call(peer, method, request, timeoutMillis, listRevision, onResult)
        }
    }

    private fun <Q : Any, R : Any> call(
        peer: TurnPeer,
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long,
        listRevision: Long = hosts.revision,
        onResult: (Result<R, StepError>) -> Unit,
    ) {
        if (peer.isUnresponsive && isRelayed) {
            relayedCalls.call(peer.address, method, request, timeoutMillis, listRevision, onResult)
        } else {
            peer.call(method, request, timeoutMillis, listRevision, onResult = onResult)
        }
    }

    /** Adopts the list that a turn host has told in reply to a call by an older one. */
    private fun adopt(listing: TurnHostListing) {
        if (listing.revision <= hosts.revision) return
        val newer = TurnHosts(listing.hosts, hosts.tolerance, listing.revision)
        updateHosts(newer)
        onHostsLearnt(newer)
    }

    /** Replaces the list, unless a turn host has already told a newer one. */
    fun updateHosts(hosts: TurnHosts) {
        if (hosts.revision < this.hosts.revision) return
        this.hosts = hosts
        val removedHosts = peersByHost.keys - hosts.hosts.toSet()
        for (host in removedHosts) {
            val peer = peersByHost.remove(host) ?: continue
            meetings.remove(peer)
            peer.close()
        }
        hosts.hosts.forEach { host -> peersByHost.getOrPut(host) { newPeer(host) } }
    }

    private fun newPeer(host: TurnHost) = TurnPeer(host.address, loop, resolveAddress, { this.hosts.revision }, ::adopt, ::receive)

    private fun receive(pushed: CallFrame) {
        if (pushed.method != TurnMethods.crashNotice.bareMethodName) return
        try {
            onCrashEvidenceLearnt(TurnMethods.crashNotice.parseRequest(ByteArrayInputStream(pushed.payload)).evidence)
        } catch (e: StatusRuntimeException) {
            onCallFailure(StepError(pushed.method, "turn host", e.toString()))
        }
    }

    /**
     * Adds a reservation and reports whether the token use of all attempts of the program fits into [budgetTokens], and the
     * server of the session's last turn if a host knows it. The call also carries the program's pending settlements.
     */
    fun reserve(
        use: UseRecord,
        budgetTokens: Int,
        timeoutMillis: Long,
        onDone: (ReservationResult, String?) -> Unit,
    ) {
        if (!isReachable) return onDone(ReservationResult.UNCERTAIN, null)
        val list = hosts
        val deadline = deadline(timeoutMillis)
        var tally = BudgetTally()
        var recentServerId: String? = null
        var countedReplies = 0
        val expiringUses = mutableMapOf<String, UseRecord>()
        val settlements = pendingSettlements.take(use.programId)
        queryHosts(
            TurnMethods.use,
            UseRequest(use, settlements),
            HostQuery(rankedHosts(use.programId), list.quorum, timeoutMillis),
            onReply = { reply ->
                val uses = unpackUses(reply.uses)
                val isCounted = reply.isKept && reply.isComplete && uses != null
                recentServerId = reply.recentServerId ?: recentServerId
                if (isCounted) countedReplies++
                if (uses != null) tally = tally.merge(uses)
                reply.expiringUses.forEach { expiringUses.merge(it.attemptId, it, ::mergeUses) }
                if (reply.requestLimits.isNotEmpty()) onLimitsLearnt(reply.requestLimits)
                if (countedReplies >= list.quorum) ReplyOutcome.SUFFICIENT else ReplyOutcome.of(isCounted)
            },
            onEnd = {
                if (countedReplies < list.quorum) settlements.forEach(::settle) else renew(expiringUses.values, use)
                when {
                    countedReplies < list.quorum && isListOutdated(list, deadline) ->
                        reserve(use, budgetTokens, remainingMillis(deadline), onDone)
                    countedReplies < list.quorum -> onDone(ReservationResult.UNCERTAIN, null)
                    tally.allows(budgetTokens) -> onDone(ReservationResult.RESERVED, recentServerId)
                    else -> onDone(ReservationResult.SPENT, null)
                }
            },
        )
    }

    /**
     * Stores [uses] of a program again, for as long as its newest one, so that a program that runs for longer than a use is kept
     * doesn't get its budget twice. They name no server, since it isn't that of the session's last turn any more.
     */
    private fun renew(
        uses: Collection<UseRecord>,
        newest: UseRecord,
    ) {
        for (use in uses) settle(use.copy(expiresAtEpochMillis = newest.expiresAtEpochMillis, serverId = null))
    }

    /** Whether the list has changed since [list], so that a call that it failed by may be repeated before [deadlineNanos]. */
    internal fun isListOutdated(
        list: TurnHosts,
        deadlineNanos: Long,
    ): Boolean = hosts.revision != list.revision && remainingMillis(deadlineNanos) > 0

    internal fun deadline(timeoutMillis: Long): Long = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)

    /** Runs [task] on the event loop after [delayMillis]. */
    internal fun schedule(
        delayMillis: Long,
        task: () -> Unit,
    ) {
        loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS)
    }

    internal fun remainingMillis(deadlineNanos: Long): Long = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime())

    /**
     * Replaces a reservation by the tokens that were used. The next reservation of the program usually follows within a few hundred
     * milliseconds and carries the settlement, which saves calls to a majority of the hosts; otherwise it is sent after
     * [SETTLE_DELAY_MILLIS].
     */
    fun settle(use: UseRecord) {
        if (!delaysSettlements) return sendSettlements(listOf(use))
        if (!pendingSettlements.add(use)) return
        loop.schedule({ sendSettlements(pendingSettlements.take(use.programId)) }, SETTLE_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Sends all pending settlements, and later ones without delay; for a process that is shutting down. */
    fun stopDelayingSettlements() {
        delaysSettlements = false
        pendingSettlements.takeAll().forEach { sendSettlements(it) }
    }

    /**
     * Stores [settlements] of one program at a majority of the hosts. Every later reservation reads at least one of these. A host
     * that misses the call keeps counting the reservation, which is never too low.
     */
    private fun sendSettlements(
        settlements: List<UseRecord>,
        timeoutMillis: Long = SETTLE_TIMEOUT_MILLIS,
    ) {
        val program = settlements.firstOrNull()?.programId ?: return
        val list = hosts
        val deadline = deadline(timeoutMillis)
        var storedCount = 0
        queryHosts(
            TurnMethods.use,
            UseRequest(null, settlements),
            HostQuery(rankedHosts(program), list.quorum, timeoutMillis),
            onReply = { reply ->
                if (reply.isKept) storedCount++
                if (storedCount >= list.quorum) ReplyOutcome.SUFFICIENT else ReplyOutcome.of(reply.isKept)
            },
            onEnd = {
                when {
                    storedCount >= list.quorum -> Unit
                    isListOutdated(list, deadline) -> sendSettlements(settlements, remainingMillis(deadline))
                    else -> onCallFailure(StepError("settle", program, "stored by $storedCount of ${list.quorum} turn hosts"))
                }
            },
        )
    }

    internal fun rankedHosts(programId: String): List<TurnHost> =
        rankTurnHosts(programId, hosts.hosts)
            .sortedBy { host ->
                (if (peersByHost[host]?.isUnresponsive == true) 2 else 0) + (if (host.failureDomain == ownFailureDomain) 0 else 1)
            }

    internal enum class ReplyOutcome {
        SUFFICIENT,
        COUNTED,

        /** Another host is called in place of this one. */
        NOT_COUNTED,
        ;

        companion object {
            fun of(isCounted: Boolean) = if (isCounted) COUNTED else NOT_COUNTED
        }
    }

    internal class HostQuery(
        val hosts: List<TurnHost>,
        val parallelism: Int,
        val timeoutMillis: Long,
    )

    /**
     * Calls hosts in order until [onReply] returns [ReplyOutcome.SUFFICIENT] or no host is left, then calls [onEnd] once. When a
     * host fails or is slow, the next one is called. All calls end at the latest when the timeout has passed.
     */
    internal fun <Q : Any, R : Any> queryHosts(
        method: MethodDescriptor<Q, R>,
        request: Q,
        query: HostQuery,
        onReply: (R) -> ReplyOutcome,
        onEnd: () -> Unit,
    ) {
        val remainingHosts = ArrayDeque(query.hosts)
        val deadlineNanos = deadline(query.timeoutMillis)
        var pendingCalls = 0
        var isEnded = false

        fun end() {
            if (isEnded) return
            isEnded = true
            onEnd()
        }

        fun callNextHost() {
            val host = remainingHosts.removeFirstOrNull()
            val peer = host?.let { peersByHost[it] }
            val remainingMillis = remainingMillis(deadlineNanos)
            if (peer == null || remainingMillis <= 0) {
                if (pendingCalls == 0) end()
                return
            }
            pendingCalls++
            call(peer, method, request, remainingMillis) { result: Result<R, StepError> ->
                pendingCalls--
                val outcome =
                    result.fold({ onReply(it) }, {
                        onCallFailure(it)
                        ReplyOutcome.NOT_COUNTED
                    })
                when {
                    outcome == ReplyOutcome.SUFFICIENT -> end()
                    outcome == ReplyOutcome.NOT_COUNTED || pendingCalls == 0 -> if (!isEnded) callNextHost()
                }
            }
        }

        fun hedge() {
            if (isEnded || remainingHosts.isEmpty()) return
            hedgedCallCount++
            callNextHost()
            loop.schedule({ hedge() }, HEDGE_DELAY_MILLIS, TimeUnit.MILLISECONDS)
        }

        repeat(query.parallelism) { callNextHost() }
        loop.schedule({ hedge() }, HEDGE_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        peersByHost.values.forEach { it.close() }
        relayedCalls.close()
    }

    private companion object {
        /** Several times a round trip that includes a disk sync, so that hosts under normal load cause no extra calls. */
        const val HEDGE_DELAY_MILLIS = 40L

        const val SETTLE_TIMEOUT_MILLIS = 1_000L

        /** Longer than most pauses between turns. With a round trip it stays below one second, within which uses must be settled. */
        const val SETTLE_DELAY_MILLIS = 300L

        /** Bounds the time until a host that responds again is used, to about half a second. */
        const val PROBE_TIMEOUT_MILLIS = 400L
    }
}
