package lavendertrail.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonPrimitive
import lavendertrail.reducer.StoredRecord

/** Puts the record that a JSON object holds into force, or throws [IllegalArgumentException]. */
internal typealias RecordReader = (ConfigState, JsonObject) -> ConfigState

private val recordJson = Json { allowComments = true }

private fun assistantReaders(kind: RecordKind): Map<Pair<RecordKind, Int>, RecordReader> =
    mapOf(
        (kind to 1) to reader(AssistantRecord.serializer()) { copy(assistants = assistants.put(it.name, it)) },
        (kind to 2) to
            reader(AssistantRecordV2.serializer()) {
                val budget = requireNotNull(budgets[it.budgetName]) { "budgetName '${it.budgetName}' names no budget record" }
                copy(assistants = assistants.put(it.name, it.toRecord(budget.toBudget())))
            },
    )

/** One reader for each kind and schema version, side by side, so that both owners can move to a new version in their own time. */
private val readers: Map<Pair<RecordKind, Int>, RecordReader> =
    mapOf(
        (RecordKind.OWNER to 1) to reader(OwnerRecord.serializer()) { copy(owners = owners.put(it.owner, it)) },
        (RecordKind.ACCOUNT to 1) to reader(AccountRecord.serializer()) { copy(accounts = accounts.put(it.account, it)) },
        (RecordKind.CALLER to 1) to reader(CallerRecord.serializer()) { copy(callers = callers.put(it.caller, it)) },
        (RecordKind.BUDGET to 1) to reader(BudgetRecord.serializer()) { withBudget(it) },
        (RecordKind.PRIORITY to 1) to reader(PriorityRecord.serializer()) { copy(priorities = priorities.put(it.serviceClass, it)) },
        (RecordKind.PROGRAM to 1) to reader(ProgramRecord.serializer()) { copy(programs = programs.put(it.name, it)) },
        (RecordKind.SERVER to 1) to reader(ServerRecord.serializer()) { copy(servers = servers.put(it.server, it)) },
        (RecordKind.TOOL to 1) to reader(ToolRecord.serializer()) { copy(tools = tools.put(it.tool, it)) },
        (RecordKind.TOOL to 2) to reader(ToolRecordV2.serializer()) { copy(tools = tools.put(it.tool, it.toRecord())) },
        (RecordKind.MODEL to 1) to reader(ModelRecord.serializer()) { copy(models = models.put(it.model, it)) },
    ) + assistantReaders(RecordKind.ASSISTANT) + assistantReaders(RecordKind.HELPER)

/** The schema versions of [kind] that this release reads. */
public fun supportedSchemaVersions(kind: RecordKind): List<Int> = readers.keys.filter { it.first == kind }.map { it.second }

/** Assistants that name this budget get its new limits at once. */
private fun ConfigState.withBudget(record: BudgetRecord): ConfigState {
    val affected = assistants.values.filter { it.budgetName == record.name }
    return copy(
        budgets = budgets.put(record.name, record),
        assistants = affected.fold(assistants) { all, assistant -> all.put(assistant.name, assistant.copy(budget = record.toBudget())) },
    )
}

/** This state with [record] in force, or why the record can't be read. */
internal fun ConfigState.read(record: StoredRecord): Result<ConfigState, String> =
    parseObject(record).flatMap { json ->
        val kind = RecordKind.ofKeyOrNull(record.kind)
        val version = json["schemaVersion"]?.jsonPrimitive?.intOrNull
        val reader = readers[kind to version]
        when {
            kind == null -> Err("kind '${record.kind}' is not known; allowed: ${RecordKind.entries.joinToString { it.key }}")
            reader == null ->
                Err("schemaVersion '$version' of kind '${kind.key}' is not known here; allowed: ${supportedSchemaVersions(kind).joinToString()}")
            else -> readWith(reader, json)
        }
    }

private fun parseObject(record: StoredRecord): Result<JsonObject, String> =
    try {
        Ok(recordJson.decodeFromString(JsonObject.serializer(), record.json))
    } catch (e: SerializationException) {
        Err("not a JSON object: ${e.firstLine()}")
    }

private fun ConfigState.readWith(
    reader: RecordReader,
    json: JsonObject,
): Result<ConfigState, String> =
    try {
        Ok(reader(this, JsonObject(json - "schemaVersion")))
    } catch (e: IllegalArgumentException) {
        Err(e.firstLine())
    }

private fun IllegalArgumentException.firstLine(): String = message?.lineSequence()?.first() ?: "not readable"

private fun <T> reader(
    strategy: DeserializationStrategy<T>,
    put: ConfigState.(T) -> ConfigState,
): RecordReader = { state, json -> state.put(recordJson.decodeFromJsonElement(strategy, json)) }

/** This state without the record that [record] deletes. */
internal fun ConfigState.without(record: StoredRecord): ConfigState =
    when (RecordKind.ofKeyOrNull(record.kind)) {
        RecordKind.OWNER -> copy(owners = owners.removingKey { it.value == record.name })
        RecordKind.ACCOUNT -> copy(accounts = accounts.removingKey { it.value == record.name })
        RecordKind.CALLER -> copy(callers = callers.remove(record.name))
        RecordKind.ASSISTANT, RecordKind.HELPER -> copy(assistants = assistants.remove(record.name))
        RecordKind.BUDGET -> copy(budgets = budgets.remove(record.name))
        RecordKind.PRIORITY -> copy(priorities = priorities.removingKey { it.name.lowercase() == record.name })
        RecordKind.PROGRAM -> copy(programs = programs.remove(record.name))
        RecordKind.SERVER -> copy(servers = servers.removingKey { it.value == record.name })
        RecordKind.TOOL -> copy(tools = tools.removingKey { it.value == record.name })
        RecordKind.MODEL -> copy(models = models.removingKey { it.value == record.name })
        null -> this
    }

private fun <K, V> kotlinx.collections.immutable.PersistentMap<K, V>.removingKey(
    matches: (K) -> Boolean,
): kotlinx.collections.immutable.PersistentMap<K, V> = keys.find(matches)?.let { remove(it) } ?: this
