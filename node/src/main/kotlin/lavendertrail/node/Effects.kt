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
internal class Effects(
    private val owner: LocalOwner,
    private val histories: HistoryAnswers,
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
                is StartAttempt -> start(effect, after = transfers.firstOrNull { effect.isAfter(it) })
                is TransferCache -> if (starts.none { it.isAfter(effect) }) engines.transfer(effect) {}
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
            is FindStream -> engines.find(effect)
            is ReleaseCache -> engines.release(effect)
            is TransferCache -> engines.transfer(effect) {}
            is PinCache -> engines.pin(effect)
            is PollLoad -> engines.poll(effect)
            is ListPins -> engines.listPins(effect)
            is LoadModel -> engines.order(effect)
            is SavePoisonMark -> records.savePoisonMark(effect)
            is SwapPartition -> records.swap(effect)
            is ReadPartition -> records.read(effect)
            is SendProbe -> peers.probe(effect)
            is OfferHandover -> peers.offer(effect)
            is FetchConfig -> peers.fetch(effect)
            is SaveConfig -> saveConfig(effect)
            ShutdownReady -> onShutdownReady()
        }

    /** The waiting callers are attached before the first byte can arrive. */
    private fun start(
        effect: StartAttempt,
        after: TransferCache? = null,
    ) {
        attempts.begin(effect)
        owner.attachWaiting(effect.call, effect.body)
        if (after == null) attempts.start(effect) else engines.transfer(after) { attempts.start(effect) }
    }

    private fun StartAttempt.isAfter(transfer: TransferCache): Boolean = transfer.program == call.program && transfer.to == server
}
