package lavendertrail.ctl

import kotlinx.serialization.json.Json
import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.history.nextRecord
import lavendertrail.model.AccountId
import lavendertrail.model.Budget
import lavendertrail.model.OwnerId
import lavendertrail.model.ProgramId
import lavendertrail.model.ProgramSpec
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServiceClass
import lavendertrail.model.Usage
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class BillCommandsTest {
    private val admin = FakeAdmin()
    private val json = Json { encodeDefaults = true }
    private val file: Path = Files.createTempFile("bill", ".ndjson").also { it.toFile().deleteOnExit() }

    private fun chain(
        program: String,
        owner: String,
    ): List<HistoryRecord> {
        val spec = ProgramSpec(OwnerId(owner), AccountId("$owner-desk"), "desk", ServiceClass.NORMAL, Budget(1, 1, 1, 1))
        val payloads =
            listOf(HistoryPayload.Opened(spec)) +
                (0..2).map { HistoryPayload.CallFinished(it, RunOutcome.RUN, Usage(promptTokens = 7, costMicros = 11)) }
        return payloads.fold(emptyList()) { all, payload ->
            all + nextRecord(all.lastOrNull(), ProgramId(program), 1, 10, payload, "confidential text")
        }
    }

    private fun export(): List<String> {
        admin.change("ana", "owner/barakah", kotlinx.serialization.json.JsonObject(emptyMap()))
        val lines =
            (chain("batinah-001-a", "barakah") + chain("cl-002-b", "valdivieso")).map {
                json.encodeToString(HistoryRecord.serializer(), it)
            }
        admin.billLines["one:1"] = lines
        admin.billLines["two:2"] = lines.drop(2)
        val result = admin.ctl("bill", "export", "--owner", "barakah", "--out", "$file")
        assertEquals(EXIT_OK, result.code, result.err)
        return Files.readAllLines(file)
    }

    /** Guards against message contents of one owner in the other's export, and against counting both journal copies of a record. */
    @Test
    fun `an export has each record once, without message contents`() {
        val lines = export()
        assertEquals(9, lines.size)
        assertFalse(lines.any { "confidential" in it })
        assertEquals(EXIT_OK, admin.ctl("bill", "verify", "$file").code)
        val sums = admin.ctl("bill", "sum", "$file")
        assertEquals(EXIT_OK, sums.code)
        assertContains(sums.out, Regex("owner valdivieso +21 +0 +0 +0 +33"))
        assertContains(sums.out, Regex("account barakah-desk +21 +0 +0 +0 +33"))
    }

    /** Guards against a forged export that passes verification, and against a fault reported for the wrong record. */
    @Test
    fun `verify names each broken record`() {
        val lines = export()
        val cases =
            mapOf(
                "record 2 of batinah-001-a was changed" to
                    lines.map { if ("\"sequence\":2" in it && "batinah" in it) it.replaceFirst(":11", ":1") else it },
                "record 1 of cl-002-b is missing" to lines.filterIndexed { index, _ -> index != 5 },
                "record 3 of cl-002-b is missing" to lines.filterIndexed { index, _ -> index != 7 },
                "record 0 of cl-002-b is missing" to lines.filterNot { it.startsWith("{\"program\":\"cl") },
                "record 1 of batinah-001-a occurs 2 times" to lines.take(2) + lines.drop(1),
                "record 3 of batinah-001-a does not follow the record before it" to lines.take(2) + rehashedRecord() + lines.drop(3),
                "the manifest is missing, so the end of the file may be too" to lines.dropLast(1),
                "line 1 is not a record" to listOf(lines.first().dropLast(9)) + lines.drop(1),
                "record 0 of batinah-001-a holds a text, which an export must not" to
                    listOf(lines.first().replace("\"content\":null", "\"content\":\"confidential text\"")) + lines.drop(1),
            )
        for ((message, forged) in cases) {
            Files.write(file, forged)
            val result = admin.ctl("bill", "verify", "$file")
            assertEquals(EXIT_FAILED, result.code, message)
            assertContains(result.out, message)
            assertEquals(EXIT_FAILED, admin.ctl("bill", "sum", "$file").code, message)
        }
    }

    /** A record 2 with a valid hash of its own but another usage than the record whose hash record 3 contains. */
    private fun rehashedRecord(): String {
        val validRecords = chain("batinah-001-a", "barakah").take(2)
        val cheaper = HistoryPayload.CallFinished(1, RunOutcome.RUN, Usage(costMicros = 1))
        return json.encodeToString(
            HistoryRecord.serializer(),
            nextRecord(validRecords.last(), validRecords.last().program, 1, 10, cheaper).copy(content = null),
        )
    }

    /** Guards against an export that looks complete although neither copy of a record could be read. */
    @Test
    fun `an export that lacks records fails`() {
        export()
        admin.billLines["one:1"] = listOf("""{"unreadablePartition":"001","error":"checksum"}""")
        val warned = admin.ctl("bill", "export", "--owner", "barakah", "--out", "$file")
        assertContains(warned.err, "unreadablePartition")
        assertEquals(EXIT_FAILED, warned.code)
        assertEquals(EXIT_USAGE, admin.ctl("bill", "export", "--owner", "nobody", "--out", "$file").code)
    }
}
