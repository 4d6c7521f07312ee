package lavendertrail.turns

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.json.put
import lavendertrail.gateway.StructuredLog
import lavendertrail.model.StepError
import lavendertrail.serving.TurnHost
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * Retires this turn host at an operator's request: offers all records to the other turn hosts, refuses further writes, offers the
 * remaining records, removes this host from the list, and then reports that the disk can be discarded without loss. While the others
 * are too few for the copies of a record, the host goes on serving and the request stays open.
 */
internal class Retirement(
    private val ownHost: TurnHost,
    private val group: EventLoopGroup,
    private val repository: TurnRepository,
    private val directory: TurnHostDirectory,
    private val isRequestedByOperator: () -> Boolean,
    private val reportStatus: (isDone: Boolean) -> Result<Unit, StepError>,
    private val log: StructuredLog,
    private val mayLeave: (TurnHostListing) -> Boolean,
) {
    private val loop = group.next()
    private var isStartReported = false

    /** Position of the next record to offer, by host. */
    private val nextOfferPositions = mutableMapOf<TurnHost, Long>()
    var isDone = false
        private set

    val isRequested: Boolean get() = isDone || isRequestedByOperator()

    /** Performs the retirement if one is requested. Failed steps are repeated at the next call. */
    fun advance() {
        if (isDone || !isRequestedByOperator()) return
        if (!isStartReported) isStartReported = reportStatus(false).fold({ true }, ::logFailure)
        val listing = directory.read().fold({ it }, { return log.warn("retirement step failed", it) })
        val others = listing.hosts.filter { it.name != ownHost.name }
        val isMember = ownHost in listing.hosts
        if (isMember && !mayLeave(listing)) return
        if (others.isEmpty() || !offerAll(others)) return
        // Entry hosts that have not read the new list yet still send records here; a refusal makes them call another host.
        loop.submit { repository.seal() }.get()
        if (!offerAll(others) || (isMember && !leave(listing, others))) {
            // A member that refuses records would leave the list without enough hosts for their copies.
            loop.submit { repository.unseal() }.get()
            return
        }
        isDone = reportStatus(true).fold({ true }, ::logFailure)
        log.event("retired") { put("reported", isDone) }
    }

    /** Removes this host from the list; false if it may still be a member. */
    private fun leave(
        listing: TurnHostListing,
        others: List<TurnHost>,
    ): Boolean = directory.write(others, listing.revision).fold({ it }, ::logFailure)

    private fun offerAll(others: List<TurnHost>): Boolean {
        val hostsStored = others.count { other -> TurnPeer(other.address, group).use { offerRecords(it, other) } }
        log.event("offered turns") {
            put("hosts", others.size)
            put("kept", hostsStored)
        }
        return hostsStored == others.size
    }

    private fun offerRecords(
        peer: TurnPeer,
        other: TurnHost,
    ): Boolean {
        while (true) {
            val after = nextOfferPositions[other] ?: 0L
            val pageFuture = CompletableFuture<TurnRepository.RecordPage>()
            loop.execute { pageFuture.complete(repository.recordsAfter(after)) }
            val page =
                try {
                    pageFuture.get(OFFER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                } catch (_: TimeoutException) {
                    return logFailure(StepError("read records", ownHost.name, "no result within $OFFER_TIMEOUT_MILLIS ms"))
                }
            val reply = peer.callBlocking(loop, TurnMethods.offer, OfferRequest(page.records), OFFER_TIMEOUT_MILLIS)
            if (!reply.fold({ it.isKept }, ::logFailure)) return false
            nextOfferPositions[other] = page.nextPosition
            if (page.isLast) return true
        }
    }

    private fun logFailure(error: StepError): Boolean {
        log.warn("retirement step failed", error)
        return false
    }

    private companion object {
        const val OFFER_TIMEOUT_MILLIS = 2_000L
    }
}
