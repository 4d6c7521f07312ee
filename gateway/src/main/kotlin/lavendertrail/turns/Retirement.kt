package lavendertrail.turns

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.json.put
import lavendertrail.gateway.StructuredLog
import lavendertrail.model.StepError
import lavendertrail.serving.TurnHost
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Empties this host's disk at an operator's request: offers all that it keeps to the other hosts, refuses what entry hosts
 * send from then on, offers the rest, leaves the list, and then reports that nothing is lost with the disk.
 */
internal class Retirement(
    private val self: TurnHost,
    private val group: EventLoopGroup,
    private val keeper: TurnKeeper,
    private val directory: TurnHostDirectory,
    private val isOrdered: () -> Boolean,
    private val report: (isDone: Boolean) -> Result<Unit, StepError>,
    private val log: StructuredLog,
) {
    private val loop = group.next()
    private var isReported = false

    /** The next position to offer, by host. */
    private val offered = mutableMapOf<TurnHost, Long>()
    var isDone = false
        private set

    val isRequested: Boolean get() = isDone || isOrdered()

    /** Carries a request out, if there is one. What fails is tried again at the next check. */
    fun check() {
        if (isDone || !isOrdered()) return
        if (!isReported) isReported = report(false).fold({ true }, ::failed)
        val listing = directory.read().fold({ it }, { return log.warn("retirement step failed", it) })
        val others = listing.hosts.filter { it.name != self.name }
        if (others.isEmpty()) return log.event("retirement refused") { put("reason", "no other turn host") }
        if (!offerAll(others)) return
        // Entry hosts that have not heard of the new list yet go on sending here; a refusal makes them ask another host.
        loop.submit { keeper.seal() }.get()
        if (!offerAll(others)) return
        if (self in listing.hosts && directory.write(others, listing.revision).get() != true) return
        isDone = report(true).fold({ true }, ::failed)
        log.event("retired") { put("reported", isDone) }
    }

    private fun offerAll(others: List<TurnHost>): Boolean {
        val kept = others.count { other -> TurnPeer(other.address, group).use { offer(it, other) } }
        log.event("offered turns") {
            put("hosts", others.size)
            put("kept", kept)
        }
        return kept == others.size
    }

    private fun offer(
        peer: TurnPeer,
        other: TurnHost,
    ): Boolean {
        while (true) {
            val after = offered[other] ?: 0L
            val page = CompletableFuture<TurnKeeper.RecordPage>()
            loop.execute { page.complete(keeper.recordsAfter(after)) }
            val records = page.get(OFFER_MILLIS, TimeUnit.MILLISECONDS)
            val reply = peer.await(loop, TurnMethods.offer, OfferRequest(records.records), OFFER_MILLIS)
            if (!reply.fold({ it.isKept }, ::failed)) return false
            offered[other] = records.next
            if (records.isLast) return true
        }
    }

    private fun failed(error: StepError): Boolean {
        log.warn("retirement step failed", error)
        return false
    }

    private companion object {
        const val OFFER_MILLIS = 2_000L
    }
}
