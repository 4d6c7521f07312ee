package lavendertrail.node

import lavendertrail.journal.JournalReplicator
import lavendertrail.reducer.AnswerCall
import lavendertrail.reducer.AnswerEnded
import lavendertrail.reducer.AnswerFromHistory
import lavendertrail.reducer.AnswerHistory
import lavendertrail.reducer.AnswerOpened
import lavendertrail.reducer.AppendHistory
import lavendertrail.reducer.AttachStream
import lavendertrail.reducer.CancelAttempt
import lavendertrail.reducer.Effect
import lavendertrail.reducer.FetchConfig
import lavendertrail.reducer.FindStream
import lavendertrail.reducer.ListPins
import lavendertrail.reducer.LoadModel
import lavendertrail.reducer.OfferHandover
import lavendertrail.reducer.PinCache
import lavendertrail.reducer.PollLoad
import lavendertrail.reducer.ReadPartition
import lavendertrail.reducer.RecoverPartition
import lavendertrail.reducer.RefuseRequest
import lavendertrail.reducer.ReleaseCache
import lavendertrail.reducer.SaveConfig
import lavendertrail.reducer.SavePoisonMark
import lavendertrail.reducer.SendProbe
import lavendertrail.reducer.ShutdownReady
import lavendertrail.reducer.StartAttempt
import lavendertrail.reducer.SwapPartition
import lavendertrail.reducer.TransferCache

/** Hands each effect of a step to the part of the node that executes it. Runs on the runner's thread and never blocks. */
internal class EffectExecutor(
    private val owner: LocalOwner,
    private val histories: HistoryResponder,
    private val attempts: AttemptExecutor,
    private val engines: EngineCommands,
    private val records: ServiceRecords,
    private val peers: PeerCommands,
    private val journal: JournalReplicator,
    private val saveConfig: (SaveConfig) -> Unit,
    private val onShutdownReady: () -> Unit,
) {
    fun execute(effects: List<Effect>) {
        val transfers = effects.filterIsInstance<TransferCache>()
        val starts = effects.filterIsInstance<StartAttempt>()
        for (effect in effects) {
            when (effect) {
                is StartAttempt -> start(effect, transfer = transfers.firstOrNull { effect.waitsFor(it) })
                is TransferCache -> if (starts.none { it.waitsFor(effect) }) engines.transferCache(effect) {}
                else -> execute(effect)
            }
        }
    }

    private fun execute(effect: Effect): Unit =
        when (effect) {
            is AppendHistory -> journal.append(effect)
            is RecoverPartition -> journal.recover(effect)
            is AnswerOpened -> owner.answer(effect)
            is AnswerCall -> owner.answer(effect)
            is AnswerEnded -> owner.answer(effect)
            is AnswerHistory -> histories.answer(effect)
            is AnswerFromHistory -> histories.answer(effect)
            is AttachStream -> owner.attach(effect)
            is RefuseRequest -> owner.refuse(effect)
            is StartAttempt -> start(effect)
            is CancelAttempt -> attempts.cancel(effect)
            is FindStream -> engines.findStream(effect)
            is ReleaseCache -> engines.releaseCache(effect)
            is TransferCache -> engines.transferCache(effect) {}
            is PinCache -> engines.pinCache(effect)
            is PollLoad -> engines.pollLoad(effect)
            is ListPins -> engines.listPins(effect)
            is LoadModel -> engines.loadModel(effect)
            is SavePoisonMark -> records.savePoisonMark(effect)
            is SwapPartition -> records.swapPartition(effect)
            is ReadPartition -> records.readPartition(effect)
            is SendProbe -> peers.sendProbe(effect)
            is OfferHandover -> peers.offerHandover(effect)
            is FetchConfig -> peers.fetchConfig(effect)
            is SaveConfig -> saveConfig(effect)
            ShutdownReady -> onShutdownReady()
        }

    /** Attaches the waiting callers before the attempt is sent, so that none misses its first bytes. */
    private fun start(
        effect: StartAttempt,
        transfer: TransferCache? = null,
    ) {
        attempts.openStream(effect)
        owner.attachPending(effect.call, effect.body)
        if (transfer == null) attempts.start(effect) else engines.transferCache(transfer) { attempts.start(effect) }
    }

    private fun StartAttempt.waitsFor(transfer: TransferCache): Boolean = transfer.program == call.program && transfer.to == server
}
