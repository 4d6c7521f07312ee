package lavendertrail.api

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import lavendertrail.config.RecordKind
import lavendertrail.model.RefusalReason
import lavendertrail.model.StepError
import lavendertrail.node.ServiceKeys
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.SwapAnswer
import lavendertrail.reducer.ConfigRecordsReceived
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.StoredRecord
import lavendertrail.reducer.TimedEvent
import lavendertrail.reducer.reduce
import org.http4k.core.Status
import org.tinylog.kotlin.Logger
import java.util.UUID

/** Audit log entry of a change to a configuration record; [after] is null for a deletion. */
@Serializable
internal data class AuditEntry(
    val atMillis: Long,
    val operator: String,
    val kind: String,
    val name: String,
    val before: JsonObject?,
    val after: JsonObject?,
    val beforeRevision: Long,
    val afterRevision: Long? = null,
)

/**
 * Outcome of a change. If [won] is false, another change came first and [current] is the current record. [audited] is false if
 * the revision could not be added to the audit entry.
 */
internal data class ConfigChange(
    val won: Boolean,
    val current: KeyValue?,
    val audited: Boolean = true,
)

/**
 * Configuration records in the key-value service. Each change is a compare-and-swap on the revision that the operator
 * read. The audit entry is written before the change, without the new revision, and completed after it, so that a crash in
 * between is visible in the audit log.
 */
internal class ConfigStore(
    private val service: KeyValueService,
    private val state: () -> NodeState,
    private val clock: () -> Long = System::currentTimeMillis,
) {
    private val json = Json { encodeDefaults = true }

    fun get(
        kind: String,
        name: String,
    ): KeyValue? = service.get(key(kind, name)).getOrElse { throw unavailable(it) }

    fun list(kind: String?): List<KeyValue> {
        val prefix = if (kind == null) ServiceKeys.CONFIG else "${ServiceKeys.CONFIG}${requireKind(kind)}/"
        return service.range(prefix).getOrElse { throw unavailable(it) }.entries
    }

    fun put(
        kind: String,
        name: String,
        expectedRevision: Long,
        record: JsonObject,
        operator: String,
    ): ConfigChange {
        val key = key(kind, name)
        rejectionReason(kind, name, record)?.let { throw badRequest("record '$kind/$name' is invalid: $it") }
        return change(kind, name, expectedRevision, record, operator) { service.swap(key, expectedRevision, record.toString()) }
    }

    fun delete(
        kind: String,
        name: String,
        expectedRevision: Long,
        operator: String,
    ): ConfigChange = change(kind, name, expectedRevision, null, operator) { service.delete(key(kind, name), expectedRevision) }

    fun history(
        kind: String,
        name: String,
    ): List<AuditEntry> =
        service
            .range(ServiceKeys.AUDIT)
            .getOrElse { throw unavailable(it) }
            .entries
            .map { ServiceKeys.json.decodeFromString(AuditEntry.serializer(), it.value) }
            .filter { it.kind == kind && it.name == name }
            .sortedBy { it.atMillis }

    private fun change(
        kind: String,
        name: String,
        expectedRevision: Long,
        after: JsonObject?,
        operator: String,
        write: () -> Result<SwapAnswer, StepError>,
    ): ConfigChange {
        val before = get(kind, name)
        if ((before?.revision ?: 0) != expectedRevision) return ConfigChange(won = false, before)
        val entry = AuditEntry(clock(), operator, kind, name, before?.toObject(), after, expectedRevision)
        val auditKey = "${ServiceKeys.AUDIT}${entry.atMillis}-${UUID.randomUUID()}"
        val audit = service.swap(auditKey, 0, json.encodeToString(entry)).getOrElse { throw unavailable(it) }
        val answer = write().fold({ it }, { error -> resolveLostReply(kind, name, expectedRevision, after, error) })
        if (!answer.won) {
            service
                .delete(auditKey, audit.current?.revision ?: 0)
                .onFailure { Logger.warn("config: audit entry $auditKey of a change that was not applied could not be deleted: $it") }
            return ConfigChange(won = false, answer.current)
        }
        val revision = answer.current?.revision
        val completed = service.swap(auditKey, audit.current?.revision ?: 0, json.encodeToString(entry.copy(afterRevision = revision)))
        Logger.info("config: $operator changed $kind/$name, revision $expectedRevision to $revision")
        return ConfigChange(won = true, answer.current, audited = completed.isOk)
    }

    /** Reads the record after a write whose reply was lost, to find out whether the write took effect. */
    private fun resolveLostReply(
        kind: String,
        name: String,
        expectedRevision: Long,
        after: JsonObject?,
        error: StepError,
    ): SwapAnswer {
        val current = service.get(key(kind, name)).getOrElse { throw unavailable(error) }
        if ((current?.revision ?: 0) == expectedRevision) throw unavailable(error)
        return SwapAnswer(won = current?.value == after?.toString(), current)
    }

    /**
     * Returns why nodes would reject [record], or null. It is applied to the current configuration by the code that nodes use,
     * because a record may refer to other records.
     */
    private fun rejectionReason(
        kind: String,
        name: String,
        record: JsonObject,
    ): String? {
        val current = state()
        val received = ConfigRecordsReceived(listOf(StoredRecord(kind, name, record.toString(), Long.MAX_VALUE)), Long.MAX_VALUE, "check")
        val applied = reduce(current, TimedEvent(clock(), 0, received)).state
        return applied.config.rejected["$kind/$name"]
    }

    private fun key(
        kind: String,
        name: String,
    ): String {
        if (!NAME.matches(
                name,
            )
        ) {
            throw badRequest("record name must be 1 to 100 letters, digits, '.', '_', ':' or '-', was '${name.take(100)}'")
        }
        return ServiceKeys.config(requireKind(kind), name)
    }

    private fun requireKind(kind: String): String =
        RecordKind.ofKeyOrNull(kind)?.key
            ?: throw badRequest("kind must be one of ${RecordKind.entries.joinToString(", ") { it.key }}, was '${kind.take(40)}'")

    private fun unavailable(error: StepError): ApiRefusal =
        ApiRefusal(
            refusal(RefusalReason.HISTORY_UNAVAILABLE, "the key-value service is unavailable: $error", RETRY_AFTER_MILLIS),
            Status.SERVICE_UNAVAILABLE,
        )

    private companion object {
        val NAME = Regex("[A-Za-z0-9._:-]{1,100}")
        const val RETRY_AFTER_MILLIS = 2_000L
    }
}

internal fun KeyValue.toObject(): JsonObject? = runCatching { Json.parseToJsonElement(value) as? JsonObject }.getOrNull()
