package lavendertrail.standins

import lavendertrail.ports.WatchBatch
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** A watch in process, which ends by itself after [idleLimitMillis] without a batch. */
internal class LocalWatch(
    private val idleLimitMillis: Long,
    private val onBatch: (WatchBatch) -> Unit,
    private val onEnd: (String) -> Unit,
) : WatchSink,
    AutoCloseable {
    private var idleCheck: ScheduledFuture<*>? = null
    private var remove: () -> Unit = {}

    @Volatile
    private var heardAtMillis = System.currentTimeMillis()

    @Volatile
    private var ended = false

    fun startOn(
        executor: ScheduledExecutorService,
        onRemove: () -> Unit,
    ) {
        remove = onRemove
        val period = (idleLimitMillis / 10).coerceIn(1, 1_000)
        idleCheck = executor.scheduleWithFixedDelay(::checkIdle, period, period, TimeUnit.MILLISECONDS)
    }

    override fun batch(
        changes: List<StoredChange>,
        revision: Long,
    ) {
        heardAtMillis = System.currentTimeMillis()
        if (!ended) onBatch(toBatch(changes, revision))
    }

    override fun compacted(firstWatchable: Long): Unit =
        end("the service cancelled the watch; it has dropped all changes before revision $firstWatchable")

    override fun broken(reason: String): Unit = end(reason)

    override fun close() {
        ended = true
        idleCheck?.cancel(false)
        remove()
    }

    private fun checkIdle() {
        if (System.currentTimeMillis() - heardAtMillis >= idleLimitMillis) end("nothing came for $idleLimitMillis ms")
    }

    private fun end(reason: String) {
        if (ended) return
        close()
        onEnd(reason)
    }
}
