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

/**
 * Calls that one node makes to another. [PeerServer] serves an implementation, and [PeerClient] is the remote stub. All calls
 * block.
 */
public interface PeerService {
    /** Sends this node's probe [message] and returns the peer's. */
    public fun probe(message: ProbeMessage): ProbeMessage

    /** Passes each reply to [onReply] as it arrives and returns after the last one. */
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

/** Configuration records with a revision above the requested one, and the highest revision known to the peer. */
@Serializable
public data class ConfigPage(
    public val records: List<StoredRecord>,
    public val headRevision: Long,
)
