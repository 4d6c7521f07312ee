package lavendertrail.ctl

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lavendertrail.bill.BillFault
import lavendertrail.bill.withoutContent
import lavendertrail.history.HistoryRecord
import lavendertrail.model.OwnerId
import lavendertrail.model.ProgramId
import java.nio.file.Files
import java.nio.file.Path

/** Last record of a program in an export. A chain by itself doesn't show that records are missing at its end. */
@Serializable
internal data class ChainEnd(
    val sequence: Int,
    val hash: String,
)

/** Last line of an export. [nodesWithoutAnswer] may hold records that the export lacks. */
@Serializable
internal data class BillManifest(
    val owner: OwnerId,
    val exportedAtMillis: Long,
    val ends: Map<ProgramId, ChainEnd>,
    val nodesWithoutAnswer: List<String> = emptyList(),
)

@Serializable
private data class ManifestLine(
    val manifest: BillManifest,
)

/** Records without texts, one JSON object per line, and a manifest as the last line. */
internal class BillFile(
    val records: List<HistoryRecord>,
    val manifest: BillManifest?,
    val badLines: List<String>,
) {
    /** Programs whose end is not the one that the manifest lists. Records before the end are judged by the chain. */
    fun endFaults(): List<BillFault> {
        val ends = manifest?.ends ?: return emptyList()
        val last = records.groupBy { it.program }.mapValues { (_, chain) -> chain.maxOf { it.sequence } }
        val lost =
            ends.flatMap { (program, end) ->
                ((last[program] ?: -1) + 1..end.sequence).map {
                    BillFault(program, it, BillFault.Kind.MISSING, "record $it of $program is missing")
                }
            }
        val added =
            records.filter { it.sequence > (ends[it.program]?.sequence ?: -1) }.map {
                BillFault(
                    it.program,
                    it.sequence,
                    BillFault.Kind.CHANGED,
                    "record ${it.sequence} of ${it.program} was added after the export",
                )
            }
        return lost + added + replacedEnds(ends)
    }

    /** Texts that an export must not hold, whoever wrote the file. */
    fun textFaults(): List<String> =
        records.filter { it.content != null }.map { "record ${it.sequence} of ${it.program} holds a text, which an export must not" }

    private fun replacedEnds(ends: Map<ProgramId, ChainEnd>): List<BillFault> =
        records.filter { ends[it.program]?.sequence == it.sequence && ends[it.program]?.hash != it.hash }.map {
            BillFault(it.program, it.sequence, BillFault.Kind.CHANGED, "record ${it.sequence} of ${it.program} was changed")
        }

    companion object {
        private val json = Json { encodeDefaults = true }

        fun read(file: String): BillFile {
            val records = mutableListOf<HistoryRecord>()
            val badLines = mutableListOf<String>()
            var manifest: BillManifest? = null
            readFile(file).lineSequence().forEachIndexed { index, line ->
                try {
                    when {
                        line.isBlank() -> Unit
                        line.startsWith("{\"manifest\"") -> manifest = json.decodeFromString(ManifestLine.serializer(), line).manifest
                        else -> records += json.decodeFromString(HistoryRecord.serializer(), line)
                    }
                } catch (_: SerializationException) {
                    badLines += "line ${index + 1} is not a record"
                } catch (_: IllegalArgumentException) {
                    badLines += "line ${index + 1} is not a record"
                }
            }
            return BillFile(records, manifest, badLines)
        }

        fun write(
            file: String,
            records: List<HistoryRecord>,
            manifest: BillManifest,
        ) {
            val lines = records.map { json.encodeToString(HistoryRecord.serializer(), it.withoutContent()) }
            try {
                Files.write(Path.of(file), lines + json.encodeToString(ManifestLine.serializer(), ManifestLine(manifest)))
            } catch (e: java.io.IOException) {
                throw CommandEnd("file '$file' can't be written: ${e.javaClass.simpleName}")
            }
        }

        fun parse(line: String): HistoryRecord? =
            try {
                json.decodeFromString(HistoryRecord.serializer(), line)
            } catch (_: SerializationException) {
                null
            }

        fun endsOf(records: List<HistoryRecord>): Map<ProgramId, ChainEnd> =
            records
                .groupBy { it.program }
                .mapValues { (_, chain) -> chain.maxBy { it.sequence }.let { ChainEnd(it.sequence, it.hash) } }
    }
}
