package lavendertrail.node

import lavendertrail.journal.JournalAnswer
import lavendertrail.journal.JournalAppend
import lavendertrail.journal.JournalPage
import lavendertrail.journal.JournalRead
import lavendertrail.journal.JournalReclaim
import lavendertrail.journal.JournalSeal
import lavendertrail.journal.JournalStore
import lavendertrail.membership.ProbeMessage
import lavendertrail.membership.probeMessage
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.peer.ConfigPage
import lavendertrail.peer.PeerService
import lavendertrail.peer.SubmitReply
import lavendertrail.peer.SubmitRequest
import lavendertrail.reducer.Event
import lavendertrail.reducer.HandoverOffered
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.ProbeReceived

/** Serves the requests that other nodes send to this one. */
internal class LocalPeerService(
    private val state: () -> NodeState,
    private val owner: LocalOwner,
    private val journal: JournalStore?,
    private val emit: (Event) -> Unit,
    private val dumpState: () -> String,
    private val gate: PauseGate = PauseGate(),
    private val clock: () -> Long = System::currentTimeMillis,
) : PeerService {
    override fun probe(message: ProbeMessage): ProbeMessage {
        gate.awaitOpen()
        emit(ProbeReceived(message))
        return state().probeMessage(clock())
    }

    override fun submit(
        request: SubmitRequest,
        onReply: (SubmitReply) -> Unit,
    ) {
        gate.awaitOpen()
        val deadlineMillis = (request as? SubmitRequest.Call)?.request?.deadlineMillis ?: (clock() + REQUEST_TIMEOUT_MILLIS)
        owner.submit(request, deadlineMillis + DEADLINE_GRACE_MILLIS - clock(), onReply)
    }

    override fun appendJournal(request: JournalAppend): JournalAnswer = awaitJournal()?.append(request) ?: JournalAnswer.Unknown

    override fun sealJournal(request: JournalSeal): JournalAnswer = awaitJournal()?.seal(request) ?: JournalAnswer.Unknown

    override fun readJournal(request: JournalRead): JournalPage =
        awaitJournal()?.read(request) ?: JournalPage(emptyList(), 0, "this node has no data folder")

    override fun reclaimJournal(request: JournalReclaim): JournalAnswer = awaitJournal()?.reclaim(request) ?: JournalAnswer.Unknown

    override fun fetchConfig(afterRevision: Long): ConfigPage {
        val config = state().config
        return ConfigPage(config.stored.values.filter { it.revision > afterRevision }, config.headRevision)
    }

    override fun offerHandover(
        from: NodeId,
        partitions: List<PartitionId>,
    ): Unit = emit(HandoverOffered(from, partitions))

    override fun dump(): String = dumpState()

    /** The journal, once the node is not paused. */
    private fun awaitJournal(): JournalStore? {
        gate.awaitOpen()
        return journal
    }

    private companion object {
        const val REQUEST_TIMEOUT_MILLIS = 30_000L
        const val DEADLINE_GRACE_MILLIS = 2_000L
    }
}
