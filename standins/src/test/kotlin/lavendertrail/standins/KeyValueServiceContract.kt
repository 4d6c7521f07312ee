package lavendertrail.standins

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.SwapAnswer
import lavendertrail.ports.WatchBatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** The contract of every [KeyValueService], including how it reports faults of the underlying service. */
abstract class KeyValueServiceContract {
    private val nowMillis = AtomicLong(1_000_000)
    private val settings = KeyValueSettings(progressIntervalMillis = 100, maxKeptChanges = 50)
    protected val standin = KeyValueStandin(settings) { nowMillis.get() }
    protected val service by lazy { open() }

    protected abstract fun open(): KeyValueService

    @AfterTest
    fun closeStandin() = standin.close()

    /** Guards against two concurrent writers whose swaps both succeed. */
    @Test
    fun `a swap wins only at the expected revision`() {
        val first = swap("a", 0, "one")
        assertTrue(first.won)
        val revision = assertNotNull(first.current).revision
        assertEquals(SwapAnswer(false, KeyValue("a", "one", revision)), swap("a", 0, "two"))
        assertEquals(SwapAnswer(false, KeyValue("a", "one", revision)), swap("a", revision + 5, "two"))
        val second = swap("a", revision, "two")
        assertTrue(second.won && assertNotNull(second.current).revision > revision)
        assertEquals(second.current, service.get("a").get())
        assertEquals(SwapAnswer(false, null), swap("none", 7, "x"))
    }

    /** Guards against a writer that acts on the absence of a key that exists again. */
    @Test
    fun `a swap while another key is absent wins only if that key does not exist`() {
        val revision = assertNotNull(swap("list", 0, "a,b").current).revision
        swap("live/b", 0, "x")
        assertEquals(false, service.swapWhileAbsent("list", revision, "a", "live/b").getOrElse { error(it) }.won)
        assertEquals("a,b", service.get("list").getOrElse { error(it) }?.value)
        assertEquals(false, service.swapWhileAbsent("list", revision + 9, "a", "live/c").getOrElse { error(it) }.won)
        val swapped = service.swapWhileAbsent("list", revision, "a", "live/c").getOrElse { error(it) }
        assertTrue(swapped.won)
        assertEquals(swapped.current, service.get("list").getOrElse { error(it) })
    }

    @Test
    fun `a delete wins only at the expected revision`() {
        val revision = assertNotNull(swap("a", 0, "one").current).revision
        assertEquals(false, service.delete("a", revision + 1).getOrElse { error(it) }.won)
        assertEquals(SwapAnswer(true, null), service.delete("a", revision).getOrElse { error(it) })
        assertNull(service.get("a").getOrElse { error(it) })
    }

    /** Guards against a prefix that matches neighbouring keys, and against a head revision that makes a watch skip changes. */
    @Test
    fun `a range has the keys of the prefix in order and the service's revision`() {
        listOf("p/b", "p/a", "p", "p0", "o/z", "p/").forEach { swap(it, 0, "v-$it") }
        val last = assertNotNull(swap("q", 0, "x").current).revision
        val snapshot = service.range("p/").getOrElse { error(it) }
        assertEquals(listOf("p/" to "v-p/", "p/a" to "v-p/a", "p/b" to "v-p/b"), snapshot.entries.map { it.key to it.value })
        assertEquals(last, snapshot.revision)
        assertEquals(
            7,
            service
                .range("")
                .getOrElse { error(it) }
                .entries.size,
        )
    }

    /** Guards against an encoding that alters text, and against a size limit below or above the 1 MB of the settings. */
    @Test
    fun `values up to the size limit are read back unchanged`() {
        listOf("", "{\"a\":\"ä ✓ 𝄞\"}\n", "x".repeat(settings.maxValueBytes)).forEachIndexed { index, value ->
            assertTrue(swap("v$index", 0, value).won)
            assertEquals(value, service.get("v$index").getOrElse { error(it) }?.value)
        }
        assertNotNull(service.swap("big", 0, "x".repeat(settings.maxValueBytes + 1)).getError())
    }

    /** Guards against records that outlive their host, and against renewing a lease that has expired. */
    @Test
    fun `keys are deleted with their lease`() {
        val lease = service.grantLease(5_000).getOrElse { error(it) }
        service.swap("host", 0, "x", lease).getOrElse { error(it) }
        nowMillis.addAndGet(4_000)
        assertEquals(true, service.keepAlive(lease).get())
        nowMillis.addAndGet(4_000)
        assertNotNull(service.get("host").getOrElse { error(it) })
        nowMillis.addAndGet(2_000)
        assertEquals(false, service.keepAlive(lease).get())
        assertNull(service.get("host").getOrElse { error(it) })
        assertNotNull(service.swap("host", 0, "x", lease).getError(), "a swap with an expired lease")
        val other = service.grantLease(5_000).getOrElse { error(it) }
        service.swap("other", 0, "x", other).getOrElse { error(it) }
        service.revokeLease(other).getOrElse { error(it) }
        assertNull(service.get("other").getOrElse { error(it) })
    }

    /** Guards against changes that are lost between the range read and the watch, or reported twice. */
    @Test
    fun `a watch reports all changes after its revision in order`() {
        val before = assertNotNull(swap("w/a", 0, "1").current).revision
        val second = assertNotNull(swap("w/a", before, "2").current).revision
        val watch = RecordingWatch("w/", before)
        swap("other", 0, "x")
        swap("w/b", 0, "3")
        service.delete("w/a", second)
        assertEquals(listOf("w/a=2", "w/b=3", "-w/a"), watch.awaitReported(3))
        val revisions = watch.batches.map { it.revision }
        assertEquals(revisions.sorted(), revisions)
        watch.close()
        swap("w/c", 0, "4")
        Thread.sleep(100)
        assertEquals(3, watch.reported.size)
        assertNull(watch.ended.poll(), "a watch that was closed must not report its end")
    }

    /** Guards against a watch that silently skips changes that are no longer kept. */
    @Test
    fun `a watch that starts before the kept changes ends`() {
        var revision = 0L
        repeat(settings.maxKeptChanges + 10) { revision = assertNotNull(swap("w/a", revision, "$it").current).revision }
        assertTrue("dropped" in RecordingWatch("w/", 1).awaitEnd(), "the reason names the dropped changes")
    }

    private data class WatchFault(
        val name: String,
        val cause: (KeyValueStandin) -> Unit,
        val reason: String,
    )

    /** Guards against mistaking a stalled watch for a service without changes. */
    @Test
    fun `a watch without changes stays open and a faulty one ends`() {
        listOf(
            WatchFault("silence", { it.watchesStalled = true }, "nothing came for 400 ms"),
            WatchFault("outage with status", { it.outage = Outage.UNAVAILABLE }, ""),
            WatchFault("outage with refused connections", { it.outage = Outage.REFUSED }, ""),
        ).forEach { fault ->
            val watch = RecordingWatch("w/", 1, idleLimitMillis = 400)
            Thread.sleep(700)
            assertNull(watch.ended.poll(), "progress notifications keep the watch open before ${fault.name}")
            fault.cause(standin)
            assertTrue(fault.reason in watch.awaitEnd(), "reason after ${fault.name}")
            assertEquals(0, watch.ended.size, "the end is reported once")
            standin.watchesStalled = false
            standin.outage = Outage.NONE
        }
    }

    /** Guards against mistaking an outage for a valid answer, and against errors that persist after the outage. */
    @Test
    fun `calls fail with step and peer during an outage and work after it`() {
        swap("a", 0, "x")
        listOf(Outage.REFUSED, Outage.UNAVAILABLE).forEach { kind ->
            standin.outage = kind
            val errors =
                listOf(
                    service.get("a").getError(),
                    service.range("a").getError(),
                    service.swap("b", 0, "x").getError(),
                    service.delete("a", 2).getError(),
                    service.grantLease(1_000).getError(),
                    service.keepAlive(1).getError(),
                )
            errors.forEach { error -> assertTrue(assertNotNull(error, "$kind").step.isNotBlank() && error.peer.isNotBlank()) }
            val watch = RecordingWatch("w/", 1)
            watch.awaitEnd()
            standin.outage = Outage.NONE
            assertEquals("x", service.get("a").getOrElse { error(it) }?.value)
        }
    }

    /** Guards against a retry inside the adapter. The caller must learn that the outcome is unknown, so that it reads the key back. */
    @Test
    fun `a lost response is an error although the write took effect`() {
        standin.loseWriteResponses(1)
        val writes = standin.counts.writes
        assertNotNull(service.swap("a", 0, "mine").getError())
        assertEquals(writes + 1, standin.counts.writes, "the write was sent once")
        assertEquals("mine", service.get("a").getOrElse { error(it) }?.value)
    }

    /** Guards against mistaking a slow service for one that is down. */
    @Test
    fun `calls wait for a slow service`() {
        standin.callDelayMillis = 300
        val start = System.nanoTime()
        assertTrue(swap("a", 0, "x").won)
        assertTrue((System.nanoTime() - start) / 1_000_000 >= 290)
    }

    /** Guards against calls that are missing from the counts by which the call budget is checked. */
    @Test
    fun `calls are counted by kind`() {
        service.get("a")
        service.range("a")
        swap("a", 0, "x")
        val lease = service.grantLease(1_000).getOrElse { error(it) }
        service.keepAlive(lease)
        RecordingWatch("a", 1).use {
            it.awaitOpenWatches(1)
            assertEquals(KeyValueCounts(2, 1, 2, 1, 1), standin.counts)
        }
        standin.expireLease(lease)
        assertEquals(false, service.keepAlive(lease).get())
    }

    private fun swap(
        key: String,
        expectedRevision: Long,
        value: String,
    ): SwapAnswer = service.swap(key, expectedRevision, value).getOrElse { error(it) }

    private inner class RecordingWatch(
        prefix: String,
        afterRevision: Long,
        idleLimitMillis: Long = 5_000,
    ) : AutoCloseable {
        val batches = LinkedBlockingQueue<WatchBatch>()
        val reported = LinkedBlockingQueue<String>()
        val ended = LinkedBlockingQueue<String>()
        private val watch = service.watch(prefix, afterRevision, idleLimitMillis, ::add) { ended.add(it.message) }

        fun awaitReported(count: Int): List<String> {
            val start = System.currentTimeMillis()
            while (reported.size < count && System.currentTimeMillis() - start < 5_000) Thread.sleep(5)
            return reported.toList()
        }

        fun awaitEnd(): String = assertNotNull(ended.poll(5, TimeUnit.SECONDS), "the watch must end")

        fun awaitOpenWatches(count: Int) {
            val start = System.currentTimeMillis()
            while (standin.counts.openWatches < count && System.currentTimeMillis() - start < 5_000) Thread.sleep(5)
        }

        override fun close() = watch.close()

        private fun add(batch: WatchBatch) {
            batches.add(batch)
            batch.changed.forEach { reported.add("${it.key}=${it.value}") }
            batch.deletedKeys.forEach { reported.add("-$it") }
        }
    }
}
