package lavendertrail.turns

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempDirectory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against records that are lost, torn or made up during a restart. */
class TurnLogTest {
    private val folder = createTempDirectory("turn-log")

    private fun open(
        now: Long = 0,
        records: MutableList<String> = mutableListOf(),
    ): TurnLog =
        TurnLog(folder, { now }, {}).also { log ->
            log.open { payload ->
                records += String(payload)
                String(payload).substringAfter('@', "0").toLong()
            }
        }

    private fun TurnLog.writeDurably(vararg texts: String) {
        val written = texts.map { text -> CompletableFuture<Boolean>().also { append(text.toByteArray(), 0, it::complete) } }
        written.forEach { assertTrue(it.get(5, TimeUnit.SECONDS)) }
    }

    private fun files(): List<Path> = Files.list(folder).use { it.sorted().toList() }

    @Test
    fun `records are read back in their order after a restart`() {
        open().use { it.writeDurably("a", "b") }
        open().use { it.writeDurably("c") }
        val records = mutableListOf<String>()
        open(records = records).close()
        assertEquals(listOf("a", "b", "c"), records)
    }

    @Test
    fun `a torn end of any length is skipped and later files are read`() {
        open().use { it.writeDurably("first", "second") }
        val whole = Files.readAllBytes(files().single())
        val frameBytes = 8 + "first".length
        for (length in 0 until whole.size) {
            Files.write(files().first(), whole.copyOf(length))
            val records = mutableListOf<String>()
            open(records = records).close()
            assertEquals(if (length < frameBytes) emptyList() else listOf("first"), records, "$length bytes")
        }
        open().use { it.writeDurably("third") }
        val records = mutableListOf<String>()
        open(records = records).close()
        assertEquals(listOf("first", "third"), records)
    }

    @Test
    fun `reading a file stops at a corrupt record`() {
        open().use { it.writeDurably("first", "second") }
        val bytes = Files.readAllBytes(files().single())
        bytes[bytes.size - 1] = 0
        Files.write(files().single(), bytes)
        val records = mutableListOf<String>()
        open(records = records).close()
        assertEquals(listOf("first"), records)
    }

    @Test
    fun `files whose records have expired are deleted when the next file is created`() {
        open().use { it.writeDurably("old@1") }
        open(now = 100_000).use { it.writeDurably("new@200000") }
        assertEquals(1, files().size)
    }
}
