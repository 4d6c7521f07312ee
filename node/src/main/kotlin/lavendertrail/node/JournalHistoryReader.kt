package lavendertrail.node

import lavendertrail.history.HistoryRecord
import lavendertrail.journal.JournalPage
import lavendertrail.journal.JournalRead
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.peer.PeerException
import lavendertrail.peer.PeerService
import lavendertrail.program.HistoryReader
import lavendertrail.reducer.NodeState

/** Reads records with their texts from a copy of the partition's journal; this node's own copy is tried first. */
internal class JournalHistoryReader(
    private val state: () -> NodeState,
    private val peer: (NodeId) -> PeerService?,
) : HistoryReader {
    override fun records(program: ProgramId): List<HistoryRecord> {
        val current = state()
        val nodes =
            current.membership.partitions[program.partition]
                ?.record
                ?.journalNodes
                .orEmpty()
        val ordered = nodes.sortedBy { it != current.self.node }
        for (node in ordered) {
            val service = peer(node) ?: continue
            readAll(service, program.partition)?.let { all -> return all.filter { it.program == program } }
        }
        error("no copy of the journal of partition ${program.partition} can be read")
    }

    private fun readAll(
        service: PeerService,
        partition: PartitionId,
    ): List<HistoryRecord>? {
        val records = mutableListOf<HistoryRecord>()
        var next = 0L
        while (true) {
            val page = readPage(service, JournalRead(partition, next, PAGE_BYTES)) ?: return null
            records += page.entries.map { it.record }
            next = page.entries.lastOrNull()?.let { it.index + 1 } ?: return records
            if (next >= page.nextIndex) return records
        }
    }

    private fun readPage(
        service: PeerService,
        request: JournalRead,
    ): JournalPage? =
        try {
            service.readJournal(request).takeIf { it.error == null }
        } catch (_: PeerException) {
            null
        }

    private companion object {
        const val PAGE_BYTES = 1024 * 1024
    }
}
