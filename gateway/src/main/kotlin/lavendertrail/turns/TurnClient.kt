package lavendertrail.turns

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.grpc.MethodDescriptor
import io.netty.channel.EventLoopGroup
import lavendertrail.gateway.socketAddress
import lavendertrail.model.FailureDomain
import lavendertrail.model.StepError
import lavendertrail.serving.BudgetTally
import lavendertrail.serving.HistoryResult
import lavendertrail.serving.ReservationResult
import lavendertrail.serving.TurnHost
import lavendertrail.serving.rankTurnHosts
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * Keeps and finds turns and budget use at the hosts with disks. All calls and results are on the event loop.
 *
 * Hosts of the own failure domain are asked first, hosts that do not answer last, and the next host is asked as well where
 * one takes longer than [HEDGE_MILLIS].
 */
internal class TurnClient(
    private val loop: EventLoopGroup,
    private val self: FailureDomain,
    cacheBytes: Long,
    private val resolve: (address: String) -> InetSocketAddress = ::socketAddress,
    private val onProblem: (StepError) -> Unit,
) : AutoCloseable {
    var hosts = TurnHosts()
        private set
    private val peers = mutableMapOf<TurnHost, TurnPeer>()
    private val relayed = RelayedCalls(loop)
    private val cache = TurnCache(cacheBytes)

    /** Whether enough hosts answer for turns and budgets. While they don't, look-ups end at once instead of at their limit. */
    val isReachable: Boolean get() = hosts.isSufficient && hosts.hosts.count(::isUsable) >= hosts.quorum

    /** Whether other entry hosts are asked to pass calls on, because too few hosts answer this process itself. */
    val isRelayed: Boolean get() = relayed.isPossible && peers.values.count { !it.isSuspect } < hosts.quorum

    /** Whether there are hosts with disks, but too few of them answer. */
    val isCutOff: Boolean get() = hosts.hosts.isNotEmpty() && !isReachable

    val knowsRelays: Boolean get() = relayed.isPossible

    /** Passes calls of other entry hosts on to the hosts that answer this one. */
    val relay = TurnRelay { address -> peers.values.firstOrNull { it.address == address && !it.isSuspect } }

    private fun isUsable(host: TurnHost) = peers[host]?.isSuspect == false || relayed.reaches(host.address)

    /** Calls the hosts that have left calls without an answer, directly and by way of other entry hosts. */
    fun probe() {
        val request = ChainRequest("")
        val isRelayed = isRelayed
        for (peer in peers.values.filter { it.isSuspect }) {
            peer.call(TurnMethods.chain, request, PROBE_LIMIT_MILLIS) { result -> result.fold({}, onProblem) }
            if (isRelayed) {
                relayed.call(peer.address, TurnMethods.chain, request, PROBE_LIMIT_MILLIS) { result -> result.fold({}, onProblem) }
            }
        }
    }

    /** Tells the hosts where this process relays calls, and learns where others do. */
    fun meet(relayAddress: String) {
        for (peer in peers.values.filter { !it.isSuspect }) {
            peer.call(TurnMethods.meet, MeetRequest(relayAddress), PROBE_LIMIT_MILLIS) { result ->
                result.fold({ relayed.learn(it.relayAddresses) }, onProblem)
            }
        }
    }

    private fun <Q : Any, R : Any> call(
        peer: TurnPeer,
        method: MethodDescriptor<Q, R>,
        request: Q,
        limitMillis: Long,
        onResult: (Result<R, StepError>) -> Unit,
    ) {
        if (peer.isSuspect && isRelayed) {
            relayed.call(peer.address, method, request, limitMillis, onResult)
        } else {
            peer.call(method, request, limitMillis, onResult)
        }
    }

    fun update(hosts: TurnHosts) {
        this.hosts = hosts
        val gone = peers.keys - hosts.hosts.toSet()
        gone.forEach { peers.remove(it)?.close() }
        hosts.hosts.forEach { host -> peers.getOrPut(host) { TurnPeer(host.address, loop, resolve) } }
    }

    /** Reports true once [TurnHosts.copies] hosts have the turn on their disks. */
    fun save(
        turn: TurnRecord,
        limitMillis: Long,
        onDone: (Boolean) -> Unit,
    ) {
        cache.put(turn)
        if (!hosts.isSufficient) return onDone(false)
        var kept = 0
        gather(
            TurnMethods.keep,
            turn,
            Ask(ranked(turn.programId), hosts.copies, limitMillis),
            onReply = { reply ->
                if (reply.isKept) kept++
                if (kept >= hosts.copies) Verdict.ENOUGH else Verdict.of(reply.isKept)
            },
            onEnd = { onDone(kept >= hosts.copies) },
        )
    }

    /** Reports the chain that [turnId] ends, oldest first. */
    fun load(
        turnId: String,
        programId: String?,
        limitMillis: Long,
        onDone: (HistoryResult, List<TurnRecord>) -> Unit,
    ) {
        loadFrom(ChainSearch(turnId, programId.orEmpty(), limitMillis, onDone))
    }

    private class ChainSearch(
        var missingId: String,
        val programId: String,
        val limitMillis: Long,
        val onDone: (HistoryResult, List<TurnRecord>) -> Unit,
    ) {
        /** Newest first. */
        val found = mutableListOf<TurnRecord>()

        /** Whether the chain has its beginning. */
        var isWhole = false
            private set

        /** Takes [turn] if it is the one that is missing. */
        fun take(turn: TurnRecord): Boolean {
            if (isWhole || turn.id != missingId) return false
            found += turn
            val previous = turn.previousId
            if (previous == null) isWhole = true else missingId = previous
            return true
        }
    }

    private fun loadFrom(search: ChainSearch) {
        while (!search.isWhole) {
            val turn = cache[search.missingId] ?: break
            search.take(turn)
        }
        if (search.isWhole) return search.onDone(HistoryResult.FOUND, search.found.reversed())
        if (!isReachable) return search.onDone(HistoryResult.UNCERTAIN, emptyList())
        val wanted = search.missingId
        var withoutTurn = 0
        var isFound = false
        gather(
            TurnMethods.chain,
            ChainRequest(wanted),
            Ask(ranked(search.programId), 1, search.limitMillis),
            onReply = { reply ->
                reply.turns.forEach(cache::put)
                isFound = reply.turns.count(search::take) > 0 || isFound
                if (reply.turns.isEmpty() && reply.isComplete) withoutTurn++
                if (isFound) Verdict.ENOUGH else Verdict.USELESS
            },
            onEnd = {
                // A turn is on more hosts than may be lost at once, so this many hosts without it prove that it does not exist.
                val isCertain = withoutTurn >= hosts.hosts.size - hosts.tolerance
                when {
                    isFound -> loadFrom(search)
                    isCertain -> search.onDone(HistoryResult.NO_SUCH_TURN, emptyList())
                    else -> search.onDone(HistoryResult.UNCERTAIN, emptyList())
                }
            },
        )
    }

    /**
     * Adds a use and reports whether the program's uses, those of other attempts included, fit into [budgetTokens], and the
     * server of the session's last turn where a host knows it.
     */
    fun reserve(
        use: UseRecord,
        budgetTokens: Int,
        limitMillis: Long,
        onDone: (ReservationResult, String?) -> Unit,
    ) {
        if (!isReachable) return onDone(ReservationResult.UNCERTAIN, null)
        var tally = BudgetTally()
        var recentServerId: String? = null
        var answers = 0
        gather(
            TurnMethods.use,
            use,
            Ask(ranked(use.programId), hosts.quorum, limitMillis),
            onReply = { reply ->
                val uses = unpackUses(reply.uses)
                val counts = reply.isKept && reply.isComplete && uses != null
                recentServerId = reply.recentServerId ?: recentServerId
                if (counts) answers++
                if (uses != null) tally = tally.merge(uses)
                if (answers >= hosts.quorum) Verdict.ENOUGH else Verdict.of(counts)
            },
            onEnd = {
                when {
                    answers < hosts.quorum -> onDone(ReservationResult.UNCERTAIN, null)
                    tally.allows(budgetTokens) -> onDone(ReservationResult.RESERVED, recentServerId)
                    else -> onDone(ReservationResult.SPENT, null)
                }
            },
        )
    }

    /** Replaces a reservation at all hosts. A host that misses it counts the reservation, which is never too low. */
    fun settle(use: UseRecord) {
        for (peer in peers.values) {
            call(peer, TurnMethods.use, use, SETTLE_LIMIT_MILLIS) { result -> result.fold({}, onProblem) }
        }
    }

    private fun ranked(programId: String): List<TurnHost> =
        rankTurnHosts(programId, hosts.hosts)
            .sortedBy { host -> (if (peers[host]?.isSuspect == true) 2 else 0) + (if (host.failureDomain == self) 0 else 1) }

    private enum class Verdict {
        ENOUGH,
        USEFUL,

        /** Another host is asked in place of this one. */
        USELESS,
        ;

        companion object {
            fun of(isUseful: Boolean) = if (isUseful) USEFUL else USELESS
        }
    }

    private class Ask(
        val order: List<TurnHost>,
        val atOnce: Int,
        val limitMillis: Long,
    )

    /**
     * Asks hosts in order until [onReply] has had enough, then ends. A failed or slow host brings in the next one; all have
     * answered or failed at the latest when the limit has passed.
     */
    private fun <Q : Any, R : Any> gather(
        method: MethodDescriptor<Q, R>,
        request: Q,
        ask: Ask,
        onReply: (R) -> Verdict,
        onEnd: () -> Unit,
    ) {
        val left = ArrayDeque(ask.order)
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ask.limitMillis)
        var open = 0
        var isEnded = false

        fun end() {
            if (isEnded) return
            isEnded = true
            onEnd()
        }

        fun askNext() {
            val host = left.removeFirstOrNull()
            val peer = host?.let { peers[it] }
            val remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime())
            if (peer == null || remainingMillis <= 0) {
                if (open == 0) end()
                return
            }
            open++
            call(peer, method, request, remainingMillis) { result: Result<R, StepError> ->
                open--
                val verdict =
                    result.fold({ onReply(it) }, {
                        onProblem(it)
                        Verdict.USELESS
                    })
                when {
                    verdict == Verdict.ENOUGH -> end()
                    verdict == Verdict.USELESS || open == 0 -> if (!isEnded) askNext()
                }
            }
        }

        fun hedge() {
            if (isEnded || left.isEmpty()) return
            askNext()
            loop.schedule({ hedge() }, HEDGE_MILLIS, TimeUnit.MILLISECONDS)
        }

        repeat(ask.atOnce) { askNext() }
        loop.schedule({ hedge() }, HEDGE_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        peers.values.forEach { it.close() }
        relayed.close()
    }

    private companion object {
        /** Several times a round trip with a disk's sync, so that a host which is merely at work isn't bypassed. */
        const val HEDGE_MILLIS = 40L

        const val SETTLE_LIMIT_MILLIS = 1_000L

        /** Half a second after a host is back it is used again. */
        const val PROBE_LIMIT_MILLIS = 400L
    }
}
