package lavendertrail.peer

import lavendertrail.journal.JournalAnswer
import lavendertrail.journal.JournalAppend
import lavendertrail.journal.JournalPage
import lavendertrail.journal.JournalRead
import lavendertrail.journal.JournalReclaim
import lavendertrail.journal.JournalSeal
import lavendertrail.journal.JournalStore
import lavendertrail.journal.memoryJournalStore
import lavendertrail.membership.ProbeMessage
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId

/** A peer with an in-memory journal. Probes and submit requests are handled by [onProbe] and [onSubmit]. */
internal class FakePeerService(
    val journal: JournalStore = memoryJournalStore(),
    val onProbe: (ProbeMessage) -> ProbeMessage = { it },
    val onSubmit: (SubmitRequest, (SubmitReply) -> Unit) -> Unit = { _, _ -> },
) : PeerService {
    val handovers = mutableListOf<PartitionId>()

    override fun probe(message: ProbeMessage) = onProbe(message)

    override fun submit(
        request: SubmitRequest,
        onReply: (SubmitReply) -> Unit,
    ) = onSubmit(request, onReply)

    override fun appendJournal(request: JournalAppend): JournalAnswer = journal.append(request)

    override fun sealJournal(request: JournalSeal): JournalAnswer = journal.seal(request)

    override fun readJournal(request: JournalRead): JournalPage = journal.read(request)

    override fun reclaimJournal(request: JournalReclaim): JournalAnswer = journal.reclaim(request)

    override fun fetchConfig(afterRevision: Long) = ConfigPage(emptyList(), afterRevision + 1)

    override fun offerHandover(
        from: NodeId,
        partitions: List<PartitionId>,
    ) {
        handovers += partitions
    }

    override fun dump() = """{"node":"fake"}"""
}
