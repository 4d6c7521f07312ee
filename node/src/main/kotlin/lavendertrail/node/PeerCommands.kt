package lavendertrail.node

import lavendertrail.model.NodeId
import lavendertrail.peer.PeerService
import lavendertrail.reducer.ConfigRecordsReceived
import lavendertrail.reducer.Event
import lavendertrail.reducer.FetchConfig
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.OfferHandover
import lavendertrail.reducer.ProbeAnswered
import lavendertrail.reducer.ProbeFailed
import lavendertrail.reducer.SendProbe
import org.tinylog.kotlin.Logger

/** Sends probes, handover offers and configuration fetches to peers. A command that can't reach its peer ends in [ProbeFailed]. */
internal class PeerCommands(
    private val peers: Peers,
    private val background: BackgroundExecutor,
    private val state: () -> NodeState,
    private val emit: (Event) -> Unit,
) {
    fun sendProbe(effect: SendProbe): Unit = sendToPeer("probe", effect.peer) { emit(ProbeAnswered(effect.peer, it.probe(effect.message))) }

    fun offerHandover(effect: OfferHandover): Unit =
        sendToPeer("handover", effect.peer) { it.offerHandover(state().self.node, effect.partitions) }

    fun fetchConfig(effect: FetchConfig): Unit =
        sendToPeer("configuration fetch", effect.peer) {
            val page = it.fetchConfig(effect.afterRevision)
            emit(ConfigRecordsReceived(page.records, page.headRevision, "peer ${effect.peer}"))
        }

    private fun sendToPeer(
        step: String,
        peer: NodeId,
        call: (PeerService) -> Unit,
    ): Unit =
        background.run("$step at $peer") {
            try {
                val service = peers.peer(peer)
                if (service == null) emit(ProbeFailed(peer, "node '$peer' has no record")) else call(service)
            } catch (error: RuntimeException) {
                Logger.debug("peer: $step at $peer failed: $error")
                emit(ProbeFailed(peer, "$step: $error"))
            }
        }
}
