package lavendertrail.ctl

import com.github.michaelbull.result.onFailure
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lavendertrail.records.checkRecord
import org.http4k.core.Method

/** A configuration record as it stands; [record] is null and [revision] 0 where there is none. */
internal class StandingRecord(
    val kind: String,
    val name: String,
    val revision: Long,
    val record: JsonObject?,
) {
    val id: String get() = "$kind/$name"
}

/** One audited change. */
internal class AuditedChange(
    val atMillis: Long,
    val operator: String,
    val before: JsonObject?,
    val after: JsonObject?,
    val beforeRevision: Long,
    val afterRevision: Long?,
)

/** Reads and changes configuration records by compare-and-swap on the revision that was read. */
internal class ConfigClient(
    private val client: AdminClient,
) {
    fun list(kind: String?): List<StandingRecord> {
        val answer = client.get("/v1/admin/config" + if (kind == null) "" else "?kind=$kind")
        return (answer as? JsonArray).orEmpty().map { standing(it.asObject("record")) }
    }

    fun get(
        kind: String,
        name: String,
    ): StandingRecord {
        val path = path(kind, name)
        val answer = client.send(Method.GET, path)
        if (answer.status == AdminClient.NOT_FOUND) return StandingRecord(kind, name, 0, null)
        client.check(answer, path)
        return standing(answer.body.asObject("record"))
    }

    fun history(
        kind: String,
        name: String,
    ): List<AuditedChange> =
        (client.get("${path(kind, name)}/history") as? JsonArray).orEmpty().map { entry ->
            val fields = entry.asObject("audit entry")
            AuditedChange(
                atMillis = fields.number("atMillis") ?: 0,
                operator = fields.text("operator").orEmpty(),
                before = fields["before"] as? JsonObject,
                after = fields["after"] as? JsonObject,
                beforeRevision = fields.number("beforeRevision") ?: 0,
                afterRevision = fields.number("afterRevision"),
            )
        }

    /** Writes [record], or deletes where it is null, and returns what stands then. The loser of a race learns who won. */
    fun write(
        kind: String,
        name: String,
        revision: Long,
        record: JsonObject?,
    ): StandingRecord {
        if (record != null) refuseProblems(kind, name, record.toString())
        val body =
            buildJsonObject {
                put("revision", revision)
                if (record != null) put("record", record)
            }
        val path = path(kind, name)
        val answer = client.send(if (record == null) Method.DELETE else Method.PUT, path, body)
        if (answer.status == AdminClient.CONFLICT) throw lost(kind, name, revision, record, answer)
        client.check(answer, path)
        val current = answer.body.asObject("answer")["current"] as? JsonObject
        return current?.let(::standing) ?: StandingRecord(kind, name, 0, null)
    }

    private fun lost(
        kind: String,
        name: String,
        revision: Long,
        record: JsonObject?,
        answer: AdminAnswer,
    ): CommandEnd {
        val current = (answer.body.asObject("answer")["current"] as? JsonObject)?.let(::standing)
        val changes = history(kind, name)
        // The winner's entry has no revision until its write was completed there.
        val winner = changes.lastOrNull { it.afterRevision == current?.revision } ?: changes.lastOrNull { it.after == current?.record }
        val by = if (winner == null) "a writer without an audit entry" else "operator ${winner.operator} at ${instant(winner.atMillis)}"
        val differences = jsonDiff(record, current?.record).joinToString("; ").ifEmpty { "nothing, both wrote the same" }
        return CommandEnd(
            "$kind/$name was not changed: $by came first, revision is ${current?.revision ?: 0}, not $revision; " +
                "yours -> theirs differs in: $differences",
        )
    }

    private fun standing(fields: JsonObject): StandingRecord =
        StandingRecord(
            fields.text("kind").orEmpty(),
            fields.text("name").orEmpty(),
            fields.number("revision") ?: 0,
            fields["record"] as? JsonObject,
        )

    private fun path(
        kind: String,
        name: String,
    ): String = "/v1/admin/config/$kind/$name"
}

/** Refuses a record whole, with path, value and what is allowed for each problem. */
internal fun refuseProblems(
    kind: String,
    name: String,
    text: String,
) {
    checkRecord(kind, name, text).onFailure { problems ->
        throw CommandEnd("record '$kind/$name' is refused: ${problems.joinToString("; ")}")
    }
}

internal fun instant(millis: Long): String =
    java.time.Instant
        .ofEpochMilli(millis)
        .toString()
