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
 * Follows all entries of the platform's store: lists them, then watches for changes from the list's revision on. After a
 * watch has ended everything is listed again, so that nothing is missed that changed in between.
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
        thread(name = "store-feed", isDaemon = true) { run() }
    }

    private fun run() {
        while (!isClosed) {
            try {
                service.range("").fold(::follow, ::failed)
            } catch (e: RuntimeException) {
                log.error("store feed failed", e)
                Thread.sleep(RETRY_MILLIS)
            }
        }
    }

    private fun follow(snapshot: KeyValueSnapshot) {
        reachable(true, null)
        listener.onSnapshot(snapshot)
        val ended = CountDownLatch(1)
        val watch =
            service.watch("", snapshot.revision, WATCH_IDLE_MILLIS, listener.onBatch) { error ->
                log.warn("store watch ended", error)
                ended.countDown()
            }
        watch.use { ended.await() }
    }

    private fun failed(error: StepError) {
        log.warn("store list failed", error)
        reachable(false, error)
        Thread.sleep(RETRY_MILLIS)
    }

    private fun reachable(
        now: Boolean,
        error: StepError?,
    ) {
        if (isReachable == now) return
        isReachable = now
        log.event(if (now) "store reached" else "store lost") { error?.let { put("error", it.toString()) } }
        listener.onReachable(now)
    }

    override fun close() {
        isClosed = true
    }

    private companion object {
        /** Costs at most five calls a second for each process while the store is away. */
        const val RETRY_MILLIS = 200L

        /** How long a watch may hear nothing before it is opened anew. */
        const val WATCH_IDLE_MILLIS = 20_000L
    }
}

/** What a feed reports, on a thread of its own. A snapshot replaces everything known. */
public class StoreListener(
    public val onSnapshot: (KeyValueSnapshot) -> Unit,
    public val onBatch: (WatchBatch) -> Unit,
    public val onReachable: (Boolean) -> Unit,
)

/** The entry under [key] where it is listed. */
public fun KeyValueSnapshot.entry(key: String): KeyValue? = entries.firstOrNull { it.key == key }
