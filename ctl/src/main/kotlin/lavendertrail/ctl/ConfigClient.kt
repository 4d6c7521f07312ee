package lavendertrail.ctl

import com.github.michaelbull.result.onFailure
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lavendertrail.records.checkRecord
import org.http4k.core.Method

/** The current version of a configuration record. If the record doesn't exist, [record] is null and [revision] is 0. */
internal class CurrentRecord(
    val kind: String,
    val name: String,
    val revision: Long,
    val record: JsonObject?,
) {
    val id: String get() = "$kind/$name"
}

/** One entry of the audit log. [afterRevision] is null for a deletion and while the write isn't completed. */
internal class AuditedChange(
    val atMillis: Long,
    val operator: String,
    val before: JsonObject?,
    val after: JsonObject?,
    val beforeRevision: Long,
    val afterRevision: Long?,
)

/** Reads configuration records and changes them by compare-and-swap on the revision that was read. */
internal class ConfigClient(
    private val client: AdminClient,
) {
    fun list(kind: String?): List<CurrentRecord> {
        val answer = client.get("/v1/admin/config" + if (kind == null) "" else "?kind=$kind")
        return (answer as? JsonArray).orEmpty().map { parseRecord(it.asObject("record")) }
    }

    fun get(
        kind: String,
        name: String,
    ): CurrentRecord {
        val path = path(kind, name)
        val answer = client.send(Method.GET, path)
        if (answer.status == AdminClient.NOT_FOUND) return CurrentRecord(kind, name, 0, null)
        client.requireSuccess(answer, path)
        return parseRecord(answer.body.asObject("record"))
    }

    fun history(
        kind: String,
        name: String,
    ): List<AuditedChange> =
        (client.get("${path(kind, name)}/history") as? JsonArray).orEmpty().map { entry ->
            val fields = entry.asObject("audit entry")
            AuditedChange(
                atMillis = fields.longField("atMillis") ?: 0,
                operator = fields.stringField("operator").orEmpty(),
                before = fields["before"] as? JsonObject,
                after = fields["after"] as? JsonObject,
                beforeRevision = fields.longField("beforeRevision") ?: 0,
                afterRevision = fields.longField("afterRevision"),
            )
        }

    /**
     * Writes [record], or deletes the stored one if it is null, and returns the resulting record. If another operator has changed
     * the record since [revision], the error names that operator and the differences.
     */
    fun write(
        kind: String,
        name: String,
        revision: Long,
        record: JsonObject?,
    ): CurrentRecord {
        if (record != null) requireValidRecord(kind, name, record.toString())
        val body =
            buildJsonObject {
                put("revision", revision)
                if (record != null) put("record", record)
            }
        val path = path(kind, name)
        val answer = client.send(if (record == null) Method.DELETE else Method.PUT, path, body)
        if (answer.status == AdminClient.CONFLICT) throw conflictError(kind, name, revision, record, answer)
        client.requireSuccess(answer, path)
        val current = answer.body.asObject("answer")["current"] as? JsonObject
        return current?.let(::parseRecord) ?: CurrentRecord(kind, name, 0, null)
    }

    private fun conflictError(
        kind: String,
        name: String,
        revision: Long,
        record: JsonObject?,
        answer: AdminResponse,
    ): CommandExit {
        val current = (answer.body.asObject("answer")["current"] as? JsonObject)?.let(::parseRecord)
        val changes = history(kind, name)
        // The audit entry of the winning write has no revision until that write is completed, so fall back to its content.
        val winner = changes.lastOrNull { it.afterRevision == current?.revision } ?: changes.lastOrNull { it.after == current?.record }
        val winnerText =
            if (winner == null) "a writer without an audit entry" else "operator ${winner.operator} at ${formatInstant(winner.atMillis)}"
        val differences = jsonDiff(record, current?.record).joinToString("; ").ifEmpty { "nothing, both wrote the same" }
        return CommandExit(
            "$kind/$name was not changed: $winnerText came first, revision is ${current?.revision ?: 0}, not $revision; " +
                "yours -> theirs differs in: $differences",
        )
    }

    private fun parseRecord(fields: JsonObject): CurrentRecord =
        CurrentRecord(
            fields.stringField("kind").orEmpty(),
            fields.stringField("name").orEmpty(),
            fields.longField("revision") ?: 0,
            fields["record"] as? JsonObject,
        )

    private fun path(
        kind: String,
        name: String,
    ): String = "/v1/admin/config/$kind/$name"
}

/** Throws a [CommandExit] that lists path, value and allowed range of every problem in the record, if there are any. */
internal fun requireValidRecord(
    kind: String,
    name: String,
    text: String,
) {
    checkRecord(kind, name, text).onFailure { problems ->
        throw CommandExit("record '$kind/$name' is refused: ${problems.joinToString("; ")}")
    }
}

/** Formats an epoch time as ISO 8601. */
internal fun formatInstant(millis: Long): String =
    java.time.Instant
        .ofEpochMilli(millis)
        .toString()
