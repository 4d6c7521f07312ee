package lavendertrail.peer

import kotlinx.serialization.Serializable
import lavendertrail.journal.JournalAnswer
import lavendertrail.journal.JournalAppend
import lavendertrail.journal.JournalPage
import lavendertrail.journal.JournalRead
import lavendertrail.journal.JournalReclaim
import lavendertrail.journal.JournalSeal
import lavendertrail.membership.ProbeMessage
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.reducer.StoredRecord

/** What one node asks of another. The gRPC server calls an implementation of it; each gRPC client is one. All calls block. */
public interface PeerService {
    /** Sends this node's [message] and returns the peer's. */
    public fun probe(message: ProbeMessage): ProbeMessage

    /** Passes replies to [onReply] as they come and returns after the last. */
    public fun submit(
        request: SubmitRequest,
        onReply: (SubmitReply) -> Unit,
    )

    public fun appendJournal(request: JournalAppend): JournalAnswer

    public fun sealJournal(request: JournalSeal): JournalAnswer

    public fun readJournal(request: JournalRead): JournalPage

    public fun reclaimJournal(request: JournalReclaim): JournalAnswer

    public fun fetchConfig(afterRevision: Long): ConfigPage

    public fun offerHandover(
        from: NodeId,
        partitions: List<PartitionId>,
    )

    public fun dump(): String
}

/** Configuration records with a revision above the one asked for, and the highest revision that the peer knows. */
@Serializable
public data class ConfigPage(
    public val records: List<StoredRecord>,
    public val headRevision: Long,
)
