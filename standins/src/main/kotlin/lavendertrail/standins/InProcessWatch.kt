package lavendertrail.standins

import lavendertrail.ports.WatchBatch
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** A watch without a network connection. It ends with an error after [idleLimitMillis] without a batch. */
internal class InProcessWatch(
    private val idleLimitMillis: Long,
    private val onBatch: (WatchBatch) -> Unit,
    private val onEnd: (String) -> Unit,
) : WatchSink,
    AutoCloseable {
    private var idleCheck: ScheduledFuture<*>? = null
    private var unregister: () -> Unit = {}

    @Volatile
    private var lastBatchMillis = System.currentTimeMillis()

    @Volatile
    private var ended = false

    fun startOn(
        executor: ScheduledExecutorService,
        onRemove: () -> Unit,
    ) {
        unregister = onRemove
        val periodMillis = (idleLimitMillis / 10).coerceIn(1, 1_000)
        idleCheck = executor.scheduleWithFixedDelay(::checkIdle, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
    }

    override fun reportChanges(
        changes: List<StoredChange>,
        revision: Long,
    ) {
        lastBatchMillis = System.currentTimeMillis()
        if (!ended) onBatch(toBatch(changes, revision))
    }

    override fun reportCompacted(firstWatchableRevision: Long): Unit =
        endWatch("the service cancelled the watch; it has dropped all changes before revision $firstWatchableRevision")

    override fun reportBroken(reason: String): Unit = endWatch(reason)

    override fun close() {
        ended = true
        idleCheck?.cancel(false)
        unregister()
    }

    private fun checkIdle() {
        if (System.currentTimeMillis() - lastBatchMillis >= idleLimitMillis) endWatch("nothing came for $idleLimitMillis ms")
    }

    private fun endWatch(reason: String) {
        if (ended) return
        close()
        onEnd(reason)
    }
}
