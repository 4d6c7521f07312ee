package lavendertrail.journal

import org.junit.jupiter.api.io.TempDir
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.fileSize
import kotlin.io.path.name
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Small segments, so that a few entries fill several, and an interval that leaves only the flushes that requests need. */
private val settings = JournalSettings(segmentBytes = 2_000, fsyncIntervalMillis = 3_600_000)

internal class FileJournalStoreTest : JournalStoreContract() {
    @TempDir
    lateinit var folder: Path

    @TempDir
    lateinit var copies: Path

    override fun newStore() = openStore(Files.createTempDirectory(folder, "store"))

    private fun openStore(
        folder: Path,
        files: JournalFiles = DiskFiles,
        settings: JournalSettings = lavendertrail.journal.settings,
        bootId: String = "boot-1",
    ) = FileJournalStore(folder, settings, files) { bootId }

    private fun segments(folder: Path) =
        Files.list(folder.resolve("02a")).use { all ->
            all
                .filter {
                    it.name.endsWith(".seg")
                }.sorted()
                .toList()
        }

    /** Copies the folder in the state that a kill of the process would leave now. */
    private fun copyAfterKill(folder: Path): Path {
        val copy = Files.createTempDirectory(copies, "killed")
        Files.walk(folder).use { paths ->
            paths.filter { it != folder }.forEach { Files.copy(it, copy.resolve(folder.relativize(it).toString())) }
        }
        return copy
    }

    /** Guards against a restart that loses entries, a seal or the completeness of a copy. */
    @Test
    fun `a kill after an answer loses no entries and no seal`(): Unit =
        openStore(folder).use { store ->
            store.fill(20)
            store.seal(JournalSeal(partition, 4))
            openStore(copyAfterKill(folder)).use { reopened ->
                assertEquals(accepted(20), reopened.seal(JournalSeal(partition, 4)))
                assertEquals(JournalAnswer.Fenced(4), reopened.append(appendRequest(20..20L)))
                assertEquals(entries(0..<20L), reopened.readAll())
            }
        }

    /** Guards against a torn write that is treated as damage or hides earlier entries. */
    @Test
    fun `a last frame torn at any byte is truncated`() {
        openStore(folder).use { it.fill(3) }
        val segment = segments(folder).last()
        val whole = Files.readAllBytes(segment)
        val lastStart = frame(encodeEntry(entry(2))).size.let { whole.size - it }
        for (size in lastStart until whole.size) {
            Files.write(segment, whole.copyOf(size))
            openStore(folder).use { store ->
                assertEquals(accepted(2), store.seal(JournalSeal(partition, 1)), "torn at byte $size")
                assertEquals(accepted(3), store.append(appendRequest(2..2L)))
            }
            assertTrue(whole.contentEquals(Files.readAllBytes(segment)), "torn at byte $size")
        }
    }

    /** Guards against undetected bit flips, and against damage that a refill doesn't repair. */
    @Test
    fun `a flipped bit anywhere is detected and repaired by a refill`() {
        val random = Random(7)
        repeat(120) { round ->
            val copy = Files.createTempDirectory(folder, "flip")
            openStore(copy).use { it.fill(20) }
            val segment = segments(copy).random(random)
            val bytes = Files.readAllBytes(segment)
            val position = random.nextInt(bytes.size)
            bytes[position] = (bytes[position].toInt() xor (1 shl random.nextInt(8))).toByte()
            Files.write(segment, bytes)
            openStore(copy).use { store ->
                val readable = store.readAll()
                val where = "round $round, byte $position of ${segment.name}"
                assertTrue(readable.size < 20, where)
                assertEquals(entries(0..<readable.size.toLong()), readable, where)
                assertIs<JournalAnswer.Failed>(store.append(appendRequest(20..20L)), where)
                assertIs<JournalAnswer.Failed>(store.seal(JournalSeal(partition, 2)), where)
                val from = readable.size.toLong()
                val refill = JournalAppend(partition, 2, entries(from..<20L), truncateTo = from)
                assertEquals(accepted(20, complete = false), store.append(refill), where)
                assertEquals(accepted(20), store.seal(JournalSeal(partition, 2, completeAt = 20)), where)
            }
            openStore(copy).use { assertEquals(entries(0..<20L), it.readAll()) }
        }
    }

    /** Guards against partial frames after a write to a full disk, and against a copy that can't be sealed on a full disk. */
    @Test
    fun `a copy on a full disk rejects entries but accepts seals`() {
        for (torn in listOf(0, 1, 11, 12, 100)) {
            var full = false
            val files =
                FaultyFiles { operation, path ->
                    if (full &&
                        operation == "write" &&
                        path.name.endsWith(".seg")
                    ) {
                        Fault.TornWrite(torn)
                    } else {
                        Fault.None
                    }
                }
            val copy = Files.createTempDirectory(folder, "full")
            openStore(copy, files).use { store ->
                store.fill(3)
                val size = segments(copy).last().fileSize()
                full = true
                assertIs<JournalAnswer.Failed>(store.append(appendRequest(3..3L)))
                assertEquals(size, segments(copy).last().fileSize())
                assertEquals(accepted(3), store.seal(JournalSeal(partition, 1)))
                full = false
                assertEquals(accepted(4), store.append(appendRequest(3..3L)))
            }
        }
    }

    /** Guards against a partial frame that remains when the truncation after a failed write fails as well. */
    @Test
    fun `a failed truncation is repeated before the next append`() {
        var full = false
        val files =
            FaultyFiles { operation, _ ->
                if (!full) {
                    Fault.None
                } else if (operation ==
                    "write"
                ) {
                    Fault.TornWrite(30)
                } else if (operation == "truncate") {
                    Fault.Failure
                } else {
                    Fault.None
                }
            }
        openStore(folder, files).use { store ->
            store.fill(3)
            full = true
            assertIs<JournalAnswer.Failed>(store.append(appendRequest(3..3L)))
            full = false
            assertEquals(accepted(4), store.append(appendRequest(3..3L)))
            assertEquals(entries(0..3L), store.readAll())
        }
    }

    /** Guards against incomplete frames after writes that accept only some of the bytes. */
    @Test
    fun `short writes are continued`() {
        val files = FaultyFiles { operation, _ -> if (operation == "write") Fault.ShortWrite(7) else Fault.None }
        openStore(folder, files).use { store ->
            store.fill(20)
            assertEquals(entries(0..<20L), store.readAll())
        }
    }

    /** Guards against an order of file operations that a crash makes unreadable. Each operation is once the first to fail. */
    @Test
    fun `a crash at any file operation keeps accepted entries`() {
        var failedOperation = 0
        while (true) {
            val copy = Files.createTempDirectory(folder, "crash")
            var remainingOperations = failedOperation++
            val files =
                FaultyFiles { operation, _ ->
                    if (remainingOperations-- > 0) {
                        Fault.None
                    } else if (operation == "write" && remainingOperations == -1) {
                        Fault.TornWrite(20)
                    } else {
                        Fault.Failure
                    }
                }
            val finished = runUntilCrash(copy, files)
            if (finished) break
        }
        assertTrue(failedOperation > 60, "only $failedOperation file operations were tried")
    }

    private fun runUntilCrash(
        copy: Path,
        files: JournalFiles,
    ): Boolean {
        val done = mutableListOf<String>()

        fun step(
            name: String,
            answer: JournalAnswer,
        ) {
            if (answer is JournalAnswer.Accepted) done += name
        }
        val store =
            try {
                openStore(copy, files)
            } catch (_: IOException) {
                return false
            }
        step("create", store.append(appendRequest(0..3L, create = true)))
        step("fill", store.append(appendRequest(4..15L)))
        step("complete", store.seal(JournalSeal(partition, 1, completeAt = 16)))
        step("seal", store.seal(JournalSeal(partition, 2)))
        step("truncate", store.append(JournalAppend(partition, 2, entries(6..11L), truncateTo = 6)))
        step("reset", store.append(JournalAppend(partition, 2, entries(2..8L), truncateTo = 2, create = true)))
        val after = copyAfterKill(copy)
        openStore(after).use { reopened ->
            val seal = reopened.seal(JournalSeal(partition, 3))
            val firstIndex = reopened.read(JournalRead(partition, 0, 1)).firstIndex
            val read = reopened.readAll(firstIndex)
            val where = "after $done: $seal"
            assertEquals(entries(firstIndex..<firstIndex + read.size), read, where)
            if ("create" in done) assertIs<JournalAnswer.Accepted>(seal, where)
            if ("fill" in done && "seal" !in done) assertEquals(16, read.size, where)
            if ("reset" in done) assertEquals(entries(2..8L), read, where)
            if ("truncate" in done && (seal as JournalAnswer.Accepted).complete) assertEquals(16, read.size, where)
        }
        if ("seal" in done) {
            openStore(copyAfterKill(copy)).use { assertEquals(JournalAnswer.Fenced(2), it.append(appendRequest(16..16L)), "$done") }
        }
        runCatching { store.close() }
        return "reset" in done
    }

    /** Guards against a copy that is treated as complete although its host lost unflushed entries. */
    @Test
    fun `after a power loss copies are incomplete until an append continues them`() {
        val files = FaultyFiles()
        val store = openStore(folder, files, settings.copy(segmentBytes = 100_000))
        store.fill(5)
        store.append(appendRequest(5..7L))
        val after = copyAfterKill(folder)
        files.losePower()
        openStore(copyAfterKill(folder), bootId = "boot-2").use {
            assertEquals(accepted(5, complete = false), it.seal(JournalSeal(partition, 1)))
        }
        openStore(after, bootId = "boot-2").use { reopened ->
            assertEquals(accepted(8, complete = false), reopened.seal(JournalSeal(partition, 1)))
            assertEquals(accepted(9), reopened.append(appendRequest(8..8L)))
        }
        store.close()
        openStore(copyAfterKill(folder), bootId = "boot-3").use { assertEquals(accepted(5), it.seal(JournalSeal(partition, 1))) }
    }

    /** Guards against entries that are acknowledged before they are on disk with [FsyncPolicy.ALWAYS]. */
    @Test
    fun `with fsync always a power loss loses no entries`() {
        val files = FaultyFiles()
        val store = openStore(folder, files, settings.copy(fsync = FsyncPolicy.ALWAYS))
        store.fill(5)
        store.append(appendRequest(5..7L))
        files.losePower()
        openStore(copyAfterKill(folder), settings = settings.copy(fsync = FsyncPolicy.ALWAYS), bootId = "boot-2").use {
            assertEquals(accepted(8), it.seal(JournalSeal(partition, 1)))
        }
        store.close()
    }

    /** Guards against appends that wait for a flush, and against a failed flush that is ignored. */
    @Test
    fun `a slow flush delays no append and a failed flush marks the copy as damaged`() {
        var fault: Fault = Fault.None
        val files = FaultyFiles { operation, path -> if (operation == "force" && path.name.endsWith(".seg")) fault else Fault.None }
        openStore(folder, files, JournalSettings(fsyncIntervalMillis = 1)).use { store ->
            store.fill(5)
            fault = Fault.Delay(2_000)
            store.append(appendRequest(5..5L))
            Thread.sleep(50)
            val start = System.nanoTime()
            assertEquals(accepted(7), store.append(appendRequest(6..6L)))
            assertTrue(System.nanoTime() - start < 1_000_000_000, "append waited for a flush")
            fault = Fault.Failure
            val failed = (1..500).firstOrNull { Thread.sleep(10).let { _ -> store.append(appendRequest(7..7L)) is JournalAnswer.Failed } }
            assertTrue(failed != null, "appends are still accepted after a failed flush")
            fault = Fault.None
        }
    }

    /** Guards against a flipped bit in a state file that reverts a copy to an older seal. */
    @Test
    fun `damage to one state file loses no seal and damage to both makes the copy unknown`() {
        openStore(folder).use { store ->
            store.fill(5)
            store.seal(JournalSeal(partition, 4))
        }
        val states = listOf("state.a", "state.b").map { folder.resolve("02a").resolve(it) }
        val whole = Files.readAllBytes(states[0])
        for ((damaged, expected) in listOf(
            states.take(1) to JournalAnswer.Fenced(4),
            states.drop(1) to JournalAnswer.Fenced(4),
            states to JournalAnswer.Unknown,
        )) {
            states.forEach { Files.write(it, whole) }
            damaged.forEach { Files.write(it, whole.copyOf().also { bytes -> bytes[20] = (bytes[20] + 1).toByte() }) }
            openStore(folder).use { assertEquals(expected, it.append(appendRequest(5..5L)), "$damaged") }
        }
    }

    /** Guards against two processes that write the same files. */
    @Test
    fun `a folder is opened by one store at a time`(): Unit =
        openStore(folder).use {
            assertFailsWith<IllegalStateException> { openStore(folder) }
        }

    /** Guards against a node that runs out of file handles when it holds many partitions. */
    @Test
    fun `the number of open files is bounded`(): Unit =
        openStore(folder, settings = settings.copy(maxOpenFiles = 8)).use { store ->
            for (index in 0 until 64) {
                val other = lavendertrail.model.PartitionId(index)
                store.append(appendRequest(0..9L, create = true).copy(partition = other))
                assertTrue(store.openFileCount <= 8, "${store.openFileCount} files are open")
                assertEquals(10, store.read(JournalRead(other, 0, 100_000)).entries.size)
            }
        }

    /** Guards against a journal that never shrinks, and against removing entries that are still needed. */
    @Test
    fun `whole segments below the bound are removed`(): Unit =
        openStore(folder).use { store ->
            store.fill(40)
            val before = segments(folder).size
            assertEquals(JournalAnswer.Fenced(1), store.reclaim(JournalReclaim(partition, 0, beforeIndex = 25)))
            assertEquals(accepted(40), store.reclaim(JournalReclaim(partition, 1, beforeIndex = 25)))
            val first = store.read(JournalRead(partition, 25, 1)).firstIndex
            assertTrue(first in 1..25 && segments(folder).size < before, "first index $first")
            assertEquals(entries(first..<40L), store.readAll(first))
            assertEquals(accepted(40), store.reclaim(JournalReclaim(partition, 1, beforeIndex = 1_000)))
            assertEquals(accepted(41), store.append(appendRequest(40..40L)))
        }
}
