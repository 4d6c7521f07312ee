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

/** What every [KeyValueService] must do, and how it reports the faults of the service behind it. */
abstract class KeyValueServiceContract {
    private val nowMillis = AtomicLong(1_000_000)
    private val settings = KeyValueSettings(progressMillis = 100, keptChanges = 50)
    protected val standin = KeyValueStandin(settings) { nowMillis.get() }
    protected val service by lazy { open() }

    protected abstract fun open(): KeyValueService

    @AfterTest
    fun closeStandin() = standin.close()

    /** Guards against two writers that both believe they won. */
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

    @Test
    fun `a delete wins only at the expected revision`() {
        val revision = assertNotNull(swap("a", 0, "one").current).revision
        assertEquals(false, service.delete("a", revision + 1).getOrElse { error(it) }.won)
        assertEquals(SwapAnswer(true, null), service.delete("a", revision).getOrElse { error(it) })
        assertNull(service.get("a").getOrElse { error(it) })
    }

    /** Guards against a prefix that matches neighbours, and against a head revision that would make a watch skip changes. */
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

    /** Guards against an encoding that changes text, and against the limit of 1 MB being met only in part. */
    @Test
    fun `values come back as they were up to the size limit`() {
        listOf("", "{\"a\":\"ä ✓ 𝄞\"}\n", "x".repeat(settings.maxValueBytes)).forEachIndexed { index, value ->
            assertTrue(swap("v$index", 0, value).won)
            assertEquals(value, service.get("v$index").getOrElse { error(it) }?.value)
        }
        assertNotNull(service.swap("big", 0, "x".repeat(settings.maxValueBytes + 1)).getError())
    }

    /** Guards against records of hosts that are gone, and against a holder that believes in a lapsed lease. */
    @Test
    fun `keys go with their lease`() {
        val lease = service.grantLease(5_000).getOrElse { error(it) }
        service.swap("host", 0, "x", lease).getOrElse { error(it) }
        nowMillis.addAndGet(4_000)
        assertEquals(true, service.keepAlive(lease).get())
        nowMillis.addAndGet(4_000)
        assertNotNull(service.get("host").getOrElse { error(it) })
        nowMillis.addAndGet(2_000)
        assertEquals(false, service.keepAlive(lease).get())
        assertNull(service.get("host").getOrElse { error(it) })
        assertNotNull(service.swap("host", 0, "x", lease).getError(), "a swap with a lapsed lease")
        val other = service.grantLease(5_000).getOrElse { error(it) }
        service.swap("other", 0, "x", other).getOrElse { error(it) }
        service.revokeLease(other).getOrElse { error(it) }
        assertNull(service.get("other").getOrElse { error(it) })
    }

    /** Guards against changes that are lost between the listing and the watch, or reported twice. */
    @Test
    fun `a watch reports all changes after its revision in order`() {
        val before = assertNotNull(swap("w/a", 0, "1").current).revision
        val second = assertNotNull(swap("w/a", before, "2").current).revision
        val watch = Watching("w/", before)
        swap("other", 0, "x")
        swap("w/b", 0, "3")
        service.delete("w/a", second)
        assertEquals(listOf("w/a=2", "w/b=3", "-w/a"), watch.take(3))
        val revisions = watch.batches.map { it.revision }
        assertEquals(revisions.sorted(), revisions)
        watch.close()
        swap("w/c", 0, "4")
        Thread.sleep(100)
        assertEquals(3, watch.taken.size)
        assertNull(watch.ended.poll(), "a watch that was closed must not report its end")
    }

    /** Guards against a watch that silently continues after changes that it never reported. */
    @Test
    fun `a watch that starts before the kept changes ends`() {
        var revision = 0L
        repeat(settings.keptChanges + 10) { revision = assertNotNull(swap("w/a", revision, "$it").current).revision }
        assertTrue("dropped" in Watching("w/", 1).awaitEnd(), "the reason names the dropped changes")
    }

    private data class WatchFault(
        val name: String,
        val cause: (KeyValueStandin) -> Unit,
        val reason: String,
    )

    /** Guards against a node that takes a stalled watch for a quiet service. */
    @Test
    fun `a watch without news stays open and a faulty one ends`() {
        listOf(
            WatchFault("silence", { it.watchesSilent = true }, "nothing came for 400 ms"),
            WatchFault("outage with status", { it.outage = Outage.UNAVAILABLE }, ""),
            WatchFault("outage with refused connections", { it.outage = Outage.REFUSED }, ""),
        ).forEach { fault ->
            val watch = Watching("w/", 1, idleLimitMillis = 400)
            Thread.sleep(700)
            assertNull(watch.ended.poll(), "progress notes keep the watch open before ${fault.name}")
            fault.cause(standin)
            assertTrue(fault.reason in watch.awaitEnd(), "reason after ${fault.name}")
            assertEquals(0, watch.ended.size, "the end is reported once")
            standin.watchesSilent = false
            standin.outage = Outage.NONE
        }
    }

    /** Guards against an outage that is taken for an answer, and against errors that outlast it. */
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
            val watch = Watching("w/", 1)
            watch.awaitEnd()
            standin.outage = Outage.NONE
            assertEquals("x", service.get("a").getOrElse { error(it) }?.value)
        }
    }

    /** Guards against a retry inside the adapter: the caller must learn that the outcome is open, and reads back. */
    @Test
    fun `a lost answer is an error although the write took effect`() {
        standin.loseAnswers(1)
        val writes = standin.counts.writes
        assertNotNull(service.swap("a", 0, "mine").getError())
        assertEquals(writes + 1, standin.counts.writes, "the write was sent once")
        assertEquals("mine", service.get("a").getOrElse { error(it) }?.value)
    }

    /** Guards against a slow service that is taken for one that is down. */
    @Test
    fun `calls wait for a slow service`() {
        standin.slowMillis = 300
        val start = System.nanoTime()
        assertTrue(swap("a", 0, "x").won)
        assertTrue((System.nanoTime() - start) / 1_000_000 >= 290)
    }

    /** Guards against a call budget that is kept on paper only. */
    @Test
    fun `calls are counted by kind`() {
        service.get("a")
        service.range("a")
        swap("a", 0, "x")
        val lease = service.grantLease(1_000).getOrElse { error(it) }
        service.keepAlive(lease)
        Watching("a", 1).use {
            it.awaitWaiting(1)
            assertEquals(KeyValueCounts(2, 1, 2, 1, 1), standin.counts)
        }
        standin.lapseLease(lease)
        assertEquals(false, service.keepAlive(lease).get())
    }

    private fun swap(
        key: String,
        expectedRevision: Long,
        value: String,
    ): SwapAnswer = service.swap(key, expectedRevision, value).getOrElse { error(it) }

    private inner class Watching(
        prefix: String,
        afterRevision: Long,
        idleLimitMillis: Long = 5_000,
    ) : AutoCloseable {
        val batches = LinkedBlockingQueue<WatchBatch>()
        val taken = LinkedBlockingQueue<String>()
        val ended = LinkedBlockingQueue<String>()
        private val watch = service.watch(prefix, afterRevision, idleLimitMillis, ::add) { ended.add(it.message) }

        fun take(count: Int): List<String> {
            val start = System.currentTimeMillis()
            while (taken.size < count && System.currentTimeMillis() - start < 5_000) Thread.sleep(5)
            return taken.toList()
        }

        fun awaitEnd(): String = assertNotNull(ended.poll(5, TimeUnit.SECONDS), "the watch must end")

        fun awaitWaiting(count: Int) {
            val start = System.currentTimeMillis()
            while (standin.counts.watchesWaiting < count && System.currentTimeMillis() - start < 5_000) Thread.sleep(5)
        }

        override fun close() = watch.close()

        private fun add(batch: WatchBatch) {
            batches.add(batch)
            batch.changed.forEach { taken.add("${it.key}=${it.value}") }
            batch.deletedKeys.forEach { taken.add("-$it") }
        }
    }
}
