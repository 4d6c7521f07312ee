package lavendertrail.gateway

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.KeyValueSnapshot
import lavendertrail.ports.WatchBatch
import lavendertrail.standins.KeyValueStandin
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against calls to the platform's store that grow with the number of servers that renew their entries. */
class StoreWatcherTest {
    /** A store with so many servers that a watch has changes at every call. */
    private class BusyStore : KeyValueService by KeyValueStandin() {
        val watchCalls = AtomicInteger()

        @Volatile
        private var isClosed = false

        override fun range(prefix: String): Result<KeyValueSnapshot, StepError> = Ok(KeyValueSnapshot(emptyList(), 1))

        override fun watch(
            prefix: String,
            afterRevision: Long,
            idleLimitMillis: Long,
            onBatch: (WatchBatch) -> Unit,
            onEnd: (StepError) -> Unit,
        ): AutoCloseable {
            thread(isDaemon = true) {
                while (!isClosed) {
                    Thread.sleep(CALL_MILLIS)
                    onBatch(WatchBatch(emptyList(), emptyList(), watchCalls.incrementAndGet() + 1L))
                }
            }
            return AutoCloseable { isClosed = true }
        }

        override fun close() {
            isClosed = true
        }
    }

    @Test
    fun `a watch that always has changes makes at most one call per pause`() {
        BusyStore().use { store ->
            val batches = AtomicInteger()
            val listener = StoreListener({}, { batches.incrementAndGet() }, {})
            StoreWatcher(store, StructuredLog("n"), listener, pauseMillis = 200).use { watcher ->
                val startedNanos = System.nanoTime()
                watcher.start()
                Thread.sleep(1_000)
                val calls = store.watchCalls.get()
                val allowed = (System.nanoTime() - startedNanos) / 200_000_000 + 1
                assertTrue(calls <= allowed, "$calls calls")
                assertTrue(batches.get() > 0, "no change was reported")
            }
        }
    }

    // An entry that exhausted the stack of this thread ended it, and the process never read a change again (review/2).
    @Test
    fun `the store is followed further after an error of the listener`() {
        BusyStore().use { store ->
            val batches = AtomicInteger()
            val failures = AtomicInteger()
            val listener =
                StoreListener({ if (failures.incrementAndGet() == 1) throw StackOverflowError() }, { batches.incrementAndGet() }, {})
            StoreWatcher(store, StructuredLog("n"), listener).use { watcher ->
                watcher.start()
                val deadlineNanos = System.nanoTime() + 5_000_000_000
                while (batches.get() == 0 && System.nanoTime() < deadlineNanos) Thread.sleep(20)
                assertTrue(batches.get() > 0, "no change was reported after the error")
            }
        }
    }

    @Test
    fun `the pause is a quarter of the shorter bound`() {
        assertEquals(500, storeWatchPauseMillis(configBoundMillis = 2_000, drainBoundMillis = 3_000))
        assertEquals(1_000, storeWatchPauseMillis(configBoundMillis = 4_500, drainBoundMillis = 4_000))
    }

    // Guards against a silence that leaves no time for the missing answer and for the call on a new connection.
    @Test
    fun `a watch may report nothing for three quarters of the shorter bound`() {
        assertEquals(1_500, storeWatchWaitMillis(configBoundMillis = 2_000, drainBoundMillis = 3_000))
        assertEquals(2_250, storeWatchWaitMillis(configBoundMillis = 3_000, drainBoundMillis = 4_000))
    }

    private companion object {
        const val CALL_MILLIS = 4L
    }
}
