package lavendertrail.turns

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.json.put
import lavendertrail.gateway.StructuredLog
import lavendertrail.model.StepError
import lavendertrail.serving.TurnHost
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Finds out what the members of the list of turn hosts know, and decides by [ListStep] whether the list may be changed. */
internal class ListChanges(
    private val ownHost: TurnHost,
    private val knownHosts: KnownHosts,
    private val directory: TurnHostDirectory,
    private val tolerance: Int,
    private val group: EventLoopGroup,
    private val log: StructuredLog,
) {
    private val loop = group.next()

    /** Whether [change] may replace [listing]. Announces [listing] to its members on the way. */
    fun isAllowed(
        listing: TurnHostListing,
        change: ListChange,
    ): Boolean {
        val departed = directory.readDeparted().onFailure { log.warn("departed turn hosts unreadable", it) }.get() ?: return false
        val liveNames = directory.liveNames()
        val hosts = TurnHosts(listing.hosts, tolerance, listing.revision)
        val step = ListStep(hosts, memberStates(listing), liveNames, departed.hosts)
        val isAllowed = step.allows(change)
        if (!isAllowed) {
            log.event("list change delayed") {
                put("change", change.name.lowercase())
                put("revision", listing.revision)
                put("hosts", listing.hosts.joinToString(",") { it.name })
                put("settled", step.settled.joinToString(","))
                put("live", liveNames.joinToString(","))
            }
        }
        return isAllowed
    }

    /**
     * Whether the members of [listing] have replaced all copies that left with [host]: each member of that time must have settled a
     * later list, with a disk that is older than the list that [host] left.
     */
    fun areCopiesReplaced(
        listing: TurnHostListing,
        host: DepartedHost,
    ): Boolean {
        val states = memberStates(listing)
        return host.pending.all { name ->
            val state = states[name]
            state != null && state.settledRevision > host.listRevision && state.firstRevision < host.listRevision
        }
    }

    /** What the members of [listing] know, by name, without those that don't reply. */
    private fun memberStates(listing: TurnHostListing): Map<String, ListStateReply> {
        val peers = listing.hosts.filter { it.name != ownHost.name }.associateWith { TurnPeer(it.address, group) }
        try {
            val replies = peers.mapValues { (_, peer) -> startCall(peer, listing) }
            val others = replies.mapNotNull { (host, reply) -> await(host, reply).get()?.let { host.name to it } }
            val own = listOfNotNull((ownHost.name to knownHosts.state).takeIf { ownHost in listing.hosts })
            return (others + own).toMap()
        } finally {
            loop.execute { peers.values.forEach { it.close() } }
        }
    }

    private fun startCall(
        peer: TurnPeer,
        listing: TurnHostListing,
    ): CompletableFuture<Result<ListStateReply, StepError>> {
        val result = CompletableFuture<Result<ListStateReply, StepError>>()
        loop.execute {
            peer.call(TurnMethods.listState, ListStateRequest(listing.toBytes()), CALL_TIMEOUT_MILLIS) { result.complete(it) }
        }
        return result
    }

    private fun await(
        host: TurnHost,
        reply: CompletableFuture<Result<ListStateReply, StepError>>,
    ): Result<ListStateReply, StepError> =
        try {
            reply.get(CALL_TIMEOUT_MILLIS * 2, TimeUnit.MILLISECONDS).onFailure { log.warn("list state not received", it) }
        } catch (_: TimeoutException) {
            peerTimeout("ListState", host.address, CALL_TIMEOUT_MILLIS * 2)
        }

    private companion object {
        /** Several times a round trip; calls to all members run at the same time. */
        const val CALL_TIMEOUT_MILLIS = 500L
    }
}
