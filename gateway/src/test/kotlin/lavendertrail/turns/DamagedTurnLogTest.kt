package lavendertrail.turns

import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.zip.CRC32C
import kotlin.io.path.createTempDirectory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Guards against files that a turn host can't start with, after a loss of power or a fault of the disk (review/11), and against
 * records that are made up from them or lost although they are intact.
 */
class DamagedTurnLogTest {
    private val folder = createTempDirectory("damaged-log")
    private val logFolder = folder.resolve("log")
    private val unreadable = mutableListOf<UnreadablePart>()

    /** Opens a repository on the folder and returns what [use] returns. */
    private fun <T> open(use: (TurnRepository) -> T): T {
        unreadable.clear()
        val repository = TurnRepository(folder, Runnable::run, { 0 }, { throw AssertionError(it) }) { unreadable += it }
        repository.open()
        return repository.use(use)
    }

    private fun TurnRepository.keep(
        id: String,
        inputBytes: Int,
    ) {
        val reply = CompletableFuture<KeepReply>()
        storeTurn(TurnRecord(id, "p", null, ByteArray(inputBytes) { 7 }, "out-$id".toByteArray(), 1_000), reply::complete)
        assertTrue(reply.get(5, TimeUnit.SECONDS).isKept)
    }

    private fun TurnRepository.ids(): List<String> =
        currentRecords()
            .mapNotNull { it.turn }
            .onEach { assertEquals("out-${it.id}", String(it.output)) }
            .map { it.id }
            .sorted()

    /** The records in a log file with the content [bytes]. */
    private fun idsIn(bytes: ByteArray): List<String> {
        val ids = mutableListOf<String>()
        readFrames(ByteBuffer.wrap(bytes)) { payload ->
            val turn = assertNotNull(decodeRecord(payload)?.turn)
            assertEquals("out-${turn.id}", String(turn.output))
            ids += turn.id
            true
        }
        return ids
    }

    private fun files(): List<Path> = Files.list(logFolder).use { it.sorted().toList() }

    private fun writeTurns(
        vararg ids: String,
        inputBytes: Int = 5,
    ): Path {
        open { repository ->
            repository.markComplete()
            ids.forEach { repository.keep(it, inputBytes) }
        }
        return files().last()
    }

    /** The ends of the frames of [bytes]. */
    private fun frameEnds(bytes: ByteArray): List<Int> {
        val ends = mutableListOf<Int>()
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.remaining() > 8) {
            val size = buffer.getInt()
            buffer.position(buffer.position() + 4 + size)
            ends += buffer.position()
        }
        return ends
    }

    @Test
    fun `a file of which any part was never written starts with the records before it`() {
        val file = writeTurns("a", "b", "c")
        val whole = Files.readAllBytes(file)
        val ends = frameEnds(whole)
        for (length in 0..whole.size) {
            for (zeros in listOf(0, 8, 4096)) {
                val found = idsIn(whole.copyOf(length) + ByteArray(zeros))
                assertEquals(listOf("a", "b", "c").take(ends.count { it <= length }), found, "$length bytes, $zeros zeros")
            }
        }
    }

    @Test
    fun `a file with a zeroed sector starts and makes up no record`() {
        val ids = List(8) { "t$it" }
        val file = writeTurns(*ids.toTypedArray(), inputBytes = 150)
        val whole = Files.readAllBytes(file)
        for (start in 0 until whole.size step SECTOR_BYTES) {
            val torn = whole.copyOf().also { it.fill(0, start, minOf(start + SECTOR_BYTES, whole.size)) }
            files().forEach(Files::delete)
            Files.write(file, torn)
            val found = open { it.ids() }
            assertEquals(found, ids.filter { it in found })
            assertEquals(ids.take(frameEnds(whole).count { it <= start }), found.take(frameEnds(whole).count { it <= start }))
        }
    }

    @Test
    fun `a flipped bit costs the record that it is in`() {
        val ids = listOf("a", "b", "c")
        val file = writeTurns(*ids.toTypedArray())
        val whole = Files.readAllBytes(file)
        val ends = frameEnds(whole)
        for (bit in 0 until whole.size * 8) {
            val damaged = whole.copyOf().also { it[bit / 8] = (it[bit / 8].toInt() xor (1 shl bit % 8)).toByte() }
            val hit = ends.indexOfFirst { bit / 8 < it }
            val isInLength = bit / 8 < 4 + if (hit > 0) ends[hit - 1] else 0
            // A wrong length hides the records behind it too.
            val expected = if (isInLength) ids.take(hit) else ids - ids[hit]
            assertEquals(expected, idsIn(damaged), "bit $bit")
        }
    }

    @Test
    fun `random bytes behind the records, and random files, don't keep a host from starting`() {
        val file = writeTurns("a", "b")
        val whole = Files.readAllBytes(file)
        val random = Random(57)
        repeat(5_000) {
            assertEquals(listOf("a", "b"), idsIn(whole + random.nextBytes(random.nextInt(1, 200))))
            assertEquals(emptyList(), idsIn(random.nextBytes(random.nextInt(1, 2_000))))
        }
        Files.write(file, random.nextBytes(1_000))
        assertEquals(emptyList(), open { it.ids() })
    }

    @Test
    fun `a torn end is cut once and reported with its bytes`() {
        val file = writeTurns("a", "b")
        val whole = Files.readAllBytes(file)
        Files.write(file, whole + ByteArray(100))
        assertEquals(true, open { it.isComplete })
        assertEquals(listOf(UnreadablePart(file.fileName.toString(), 100, 0, isEndOfNewest = true)), unreadable)
        assertEquals(whole.size.toLong(), Files.size(file))
        assertEquals(listOf("a", "b"), open { it.ids() })
        assertEquals(emptyList(), unreadable)
    }

    @Test
    fun `a host whose older file is damaged counts as incomplete until it has copied the others`() {
        val file = writeTurns("a")
        writeTurns("b")
        Files.write(file, Files.readAllBytes(file).dropLast(1).toByteArray())
        open { repository ->
            assertFalse(repository.isComplete)
            assertEquals(listOf("b"), repository.ids())
            repository.markComplete()
            assertTrue(repository.isComplete)
        }
    }

    @Test
    fun `a whole record of an unknown form is passed over and the host counts as incomplete`() {
        val file = writeTurns("a")
        val payload = byteArrayOf(1, 2, 3)
        val checksum = CRC32C().apply { update(payload) }.value.toInt()
        val frame =
            ByteBuffer
                .allocate(8 + payload.size)
                .putInt(payload.size)
                .putInt(checksum)
                .put(payload)
        Files.write(file, frame.array() + Files.readAllBytes(file))
        open { repository ->
            assertFalse(repository.isComplete)
            assertEquals(listOf("a"), repository.ids())
        }
        assertEquals(1, unreadable.single().undecodedRecords)
    }

    @Test
    fun `files with other names are left alone`() {
        writeTurns("a")
        Files.write(logFolder.resolve("notes.turns"), byteArrayOf(1))
        Files.write(logFolder.resolve("000000000009.turns.old"), byteArrayOf(1))
        assertEquals(listOf("a"), open { it.ids() })
    }

    private companion object {
        const val SECTOR_BYTES = 512
    }
}
