package lavendertrail.turns

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import io.grpc.MethodDescriptor
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.json.put
import lavendertrail.gateway.StructuredLog
import lavendertrail.gateway.nowMillis
import lavendertrail.model.StepError
import lavendertrail.serving.TurnHost
import lavendertrail.serving.rankTurnHosts
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * Restores the number of copies of this host's records after the list of turn hosts has changed: asks all members which records
 * they lack, and sends each record that too few of them have to further members. Of the hosts that have a record, the first by
 * rendezvous hashing sends it.
 */
internal class RecordRepair(
    private val ownHost: TurnHost,
    private val repository: TurnRepository,
    private val group: EventLoopGroup,
    private val tolerance: Int,
    private val log: StructuredLog,
) {
    private val loop = group.next()
    private var repairedRevision = 0L
    private var startedMillis = 0L

    /** Members that didn't store what was sent to them, such as those with a full disk; others get the copies. */
    private val refusingHosts = mutableSetOf<TurnHost>()

    /**
     * Repairs the copies among the members of [listing], to which this host belongs; false if some records still have too few, in
     * which case it is called again.
     */
    fun repair(listing: TurnHostListing): Boolean {
        if (repairedRevision != listing.revision) {
            repairedRevision = listing.revision
            startedMillis = nowMillis()
            refusingHosts.clear()
        }
        val waitsForMembers = nowMillis() - startedMillis < WAIT_FOR_MEMBERS_MILLIS
        return run(TurnHosts(listing.hosts, tolerance), isLeaving = false, waitsForMembers)
    }

    /** Makes the copies that the members of [listing] need when this host is gone; false if some records still have too few. */
    fun handOver(listing: TurnHostListing): Boolean =
        run(TurnHosts(listing.hosts.filter { it.name != ownHost.name }, tolerance), isLeaving = true, waitsForMembers = false)

    private fun run(
        hosts: TurnHosts,
        isLeaving: Boolean,
        waitsForMembers: Boolean,
    ): Boolean {
        val others = hosts.hosts.filter { it.name != ownHost.name }
        val peers = others.associateWith { TurnPeer(it.address, group) }
        try {
            var sentCount = 0
            var isRepaired = true
            for (records in onLoop { repository.currentRecords() }.chunked(MAX_KEYS_PER_CALL)) {
                val missing = findMissing(peers - refusingHosts, records)
                val plan = RepairPlan(ownHost.takeUnless { isLeaving }, hosts, missing)
                if (waitsForMembers && missing.size < others.size && plan.needsUnknown(records)) return false
                val copies = plan.copiesToSend(records)
                for ((target, indices) in copies) {
                    val isSent = send(peers.getValue(target), indices.map { records[it] })
                    if (isSent) sentCount += indices.size else refusingHosts += target
                    isRepaired = isRepaired && isSent
                }
                if (!plan.isSufficient(records)) isRepaired = false
            }
            log.event("records repaired") {
                put("hosts", hosts.hosts.joinToString(",") { it.name })
                put("leaving", isLeaving)
                put("sent", sentCount)
                put("complete", isRepaired)
            }
            return isRepaired
        } finally {
            loop.execute { peers.values.forEach { it.close() } }
        }
    }

    /** The indices of the [records] that each host lacks; hosts that don't reply are left out. */
    private fun findMissing(
        peers: Map<TurnHost, TurnPeer>,
        records: List<StoredRecord>,
    ): Map<TurnHost, Set<Int>> {
        val request = MissingRequest(records.map { it.key })
        val replies = peers.mapValues { (_, peer) -> startCall(peer, TurnMethods.missing, request) }
        return replies
            .mapNotNull { (host, reply) -> await(host, reply).get()?.let { host to it.indices.toSet() } }
            .toMap()
    }

    private fun send(
        peer: TurnPeer,
        records: List<StoredRecord>,
    ): Boolean =
        records.batchesBySize(MAX_BATCH_BYTES).all { batch ->
            peer
                .callBlocking(loop, TurnMethods.offer, OfferRequest(batch), CALL_TIMEOUT_MILLIS)
                .onFailure { log.warn("repairing records failed", it) }
                .fold({ it.isKept }, { false })
        }

    private fun <Q : Any, R : Any> startCall(
        peer: TurnPeer,
        method: MethodDescriptor<Q, R>,
        request: Q,
    ): CompletableFuture<Result<R, StepError>> {
        val result = CompletableFuture<Result<R, StepError>>()
        loop.execute { peer.call(method, request, CALL_TIMEOUT_MILLIS) { result.complete(it) } }
        return result
    }

    private fun <R> await(
        host: TurnHost,
        reply: CompletableFuture<Result<R, StepError>>,
    ): Result<R, StepError> =
        try {
            reply.get(CALL_TIMEOUT_MILLIS * 2, TimeUnit.MILLISECONDS).onFailure { log.warn("repairing records failed", it) }
        } catch (_: TimeoutException) {
            peerTimeout("Missing", host.address, CALL_TIMEOUT_MILLIS * 2)
        }

    private fun <T> onLoop(task: () -> T): T = loop.submit(task).get()

    private companion object {
        /** A list of keys of about 200 KB. */
        const val MAX_KEYS_PER_CALL = 4_000
        const val MAX_BATCH_BYTES = 500_000

        /** Ten times the transfer time of a half-megabyte page over a host's slowest link. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /**
         * How long members that don't reply may still have records before these are copied once more. Processes that start again
         * are back within a second or two.
         */
        const val WAIT_FOR_MEMBERS_MILLIS = 3_000L
    }
}

/**
 * Which records are to be sent where, given the indices of those that each replying host lacks ([missing]). [ownHost] is null if
 * this host is leaving and its own copies don't count.
 */
internal class RepairPlan(
    private val ownHost: TurnHost?,
    private val hosts: TurnHosts,
    private val missing: Map<TurnHost, Set<Int>>,
) {
    private fun holders(index: Int): List<TurnHost> = listOfNotNull(ownHost) + missing.filterValues { index !in it }.keys

    /** Whether hosts that have not replied are needed for the required number of copies of one of [records]. */
    fun needsUnknown(records: List<StoredRecord>): Boolean = records.indices.any { holders(it).size < hosts.copiesOf(records[it]) }

    /** The indices of [records] to send to each host. */
    fun copiesToSend(records: List<StoredRecord>): Map<TurnHost, List<Int>> {
        val copies = mutableMapOf<TurnHost, MutableList<Int>>()
        records.forEachIndexed { index, record ->
            val holders = holders(index)
            val lacking = hosts.copiesOf(record) - holders.size
            if (lacking <= 0 || !isSender(record, holders)) return@forEachIndexed
            val targets = missing.filterValues { index in it }.keys
            rankTurnHosts(record.placementKey, targets.toList()).take(lacking).forEach { copies.getOrPut(it) { mutableListOf() } += index }
        }
        return copies
    }

    private fun isSender(
        record: StoredRecord,
        holders: List<TurnHost>,
    ) = ownHost == null || rankTurnHosts(record.placementKey, holders).first() == ownHost

    /** Whether enough hosts replied for the required copies of all [records], once they have been sent. */
    fun isSufficient(records: List<StoredRecord>): Boolean =
        records.all { missing.size + (if (ownHost == null) 0 else 1) >= hosts.copiesOf(it) }
}

/** Splits the records into batches of about [maxBytes]. */
internal fun List<StoredRecord>.batchesBySize(maxBytes: Int): List<List<StoredRecord>> {
    val batches = mutableListOf<MutableList<StoredRecord>>()
    var sizeBytes = maxBytes
    for (record in this) {
        if (sizeBytes >= maxBytes) {
            batches += mutableListOf<StoredRecord>()
            sizeBytes = 0
        }
        batches.last() += record
        sizeBytes += record.sizeBytes
    }
    return batches
}
