package lavendertrail.history

import kotlinx.serialization.json.Json
import lavendertrail.model.ProgramId
import java.security.MessageDigest
import java.util.HexFormat

/** [HistoryRecord.previousHash] of the first record of a program. */
public const val GENESIS_HASH: String = ""

private val payloadJson = Json { encodeDefaults = true }

/** Creates the record that follows [previous] in a program's hash chain, or the first record if [previous] is null. */
public fun nextRecord(
    previous: HistoryRecord?,
    program: ProgramId,
    epoch: Long,
    atMillis: Long,
    payload: HistoryPayload,
    content: String = "",
): HistoryRecord {
    require(previous == null || previous.program == program) { "record of $program can't follow one of ${previous?.program}" }
    val unhashed =
        HistoryRecord(
            program = program,
            sequence = (previous?.sequence ?: -1) + 1,
            epoch = epoch,
            atMillis = atMillis,
            payload = payload,
            contentSha256 = sha256Hex(content),
            previousHash = previous?.hash ?: GENESIS_HASH,
            hash = "",
            content = content,
        )
    return unhashed.copy(hash = unhashed.computedHash())
}

/** Recomputes the hash from the record's fields. It differs from [HistoryRecord.hash] if a field was changed. */
public fun HistoryRecord.computedHash(): String =
    sha256Hex(
        listOf(
            previousHash,
            program.value,
            sequence.toString(),
            epoch.toString(),
            atMillis.toString(),
            payloadJson.encodeToString(HistoryPayload.serializer(), payload),
            contentSha256,
        ).joinToString("\n"),
    )

public fun sha256Hex(text: String): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
