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

/**
 * The last record of a program in an export. The hash chain alone can't show that records are missing at its end, so the
 * manifest lists these.
 */
@Serializable
internal data class ChainEnd(
    val sequence: Int,
    val hash: String,
)

/** The last line of an export. The nodes in [nodesWithoutAnswer] may have records that the export lacks. */
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

/** An export: history records without message contents, one JSON object per line, and a [BillManifest] as the last line. */
internal class BillFile(
    val records: List<HistoryRecord>,
    val manifest: BillManifest?,
    val badLines: List<String>,
) {
    /**
     * Records at the ends of programs that are missing, added or changed compared with the manifest. Records before the end are
     * verified by the hash chain.
     */
    fun endFaults(): List<BillFault> {
        val ends = manifest?.ends ?: return emptyList()
        val lastSequences = records.groupBy { it.program }.mapValues { (_, chain) -> chain.maxOf { it.sequence } }
        val missing =
            ends.flatMap { (program, end) ->
                ((lastSequences[program] ?: -1) + 1..end.sequence).map {
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
        return missing + added + changedEnds(ends)
    }

    /** Records that still contain message contents, which an export must not, whichever program wrote the file. */
    fun contentFaults(): List<String> =
        records.filter { it.content != null }.map { "record ${it.sequence} of ${it.program} holds a text, which an export must not" }

    private fun changedEnds(ends: Map<ProgramId, ChainEnd>): List<BillFault> =
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
                throw CommandExit("file '$file' can't be written: ${e.javaClass.simpleName}")
            }
        }

        /** Parses one line of a node's response; null if it isn't a record. */
        fun parse(line: String): HistoryRecord? =
            try {
                json.decodeFromString(HistoryRecord.serializer(), line)
            } catch (_: SerializationException) {
                null
            }

        fun chainEnds(records: List<HistoryRecord>): Map<ProgramId, ChainEnd> =
            records
                .groupBy { it.program }
                .mapValues { (_, chain) -> chain.maxBy { it.sequence }.let { ChainEnd(it.sequence, it.hash) } }
    }
}
