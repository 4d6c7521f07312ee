package lavendertrail.gateway

import com.github.michaelbull.result.fold
import kotlinx.serialization.json.put
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.KeyValueSnapshot
import lavendertrail.ports.WatchBatch
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/**
 * Reports all entries of the platform's key-value store and their changes: lists the entries, then watches from the revision
 * of the list. When a watch ends, all entries are listed again, so that no change in between is missed.
 */
public class StoreWatcher(
    private val service: KeyValueService,
    private val log: StructuredLog,
    private val listener: StoreListener,
) : AutoCloseable {
    @Volatile
    private var isClosed = false
    private var isReachable: Boolean? = null

    public fun start() {
        thread(name = "store-feed", isDaemon = true) { watchLoop() }
    }

    private fun watchLoop() {
        while (!isClosed) {
            try {
                service.range("").fold(::watchFrom, ::handleListFailure)
            } catch (e: RuntimeException) {
                log.error("store feed failed", e)
                Thread.sleep(RETRY_MILLIS)
            }
        }
    }

    private fun watchFrom(snapshot: KeyValueSnapshot) {
        updateReachability(true, null)
        listener.onSnapshot(snapshot)
        val watchEnded = CountDownLatch(1)
        val watch =
            service.watch("", snapshot.revision, WATCH_IDLE_TIMEOUT_MILLIS, listener.onBatch) { error ->
                log.warn("store watch ended", error)
                watchEnded.countDown()
            }
        watch.use { watchEnded.await() }
    }

    private fun handleListFailure(error: StepError) {
        log.warn("store list failed", error)
        updateReachability(false, error)
        Thread.sleep(RETRY_MILLIS)
    }

    private fun updateReachability(
        reachable: Boolean,
        error: StepError?,
    ) {
        if (isReachable == reachable) return
        isReachable = reachable
        log.event(if (reachable) "store reached" else "store lost") { error?.let { put("error", it.toString()) } }
        listener.onReachable(reachable)
    }

    override fun close() {
        isClosed = true
    }

    private companion object {
        /** Limits the load to five calls per second and process while the store is unavailable. */
        const val RETRY_MILLIS = 200L

        /** A watch that receives nothing for this long is closed and reopened. */
        const val WATCH_IDLE_TIMEOUT_MILLIS = 20_000L
    }
}

/** Callbacks of a [StoreWatcher], called on its threads. A snapshot replaces all entries known so far. */
public class StoreListener(
    public val onSnapshot: (KeyValueSnapshot) -> Unit,
    public val onBatch: (WatchBatch) -> Unit,
    public val onReachable: (Boolean) -> Unit,
)

/** Returns the entry with [key], or null if the snapshot doesn't contain it. */
public fun KeyValueSnapshot.entry(key: String): KeyValue? = entries.firstOrNull { it.key == key }
