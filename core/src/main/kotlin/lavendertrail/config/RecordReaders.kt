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

/** Decodes a record from a JSON object and adds it to the configuration. Throws [IllegalArgumentException] where it is invalid. */
internal typealias RecordReader = (ConfigState, JsonObject) -> ConfigState

private val recordJson = Json { allowComments = true }

private fun assistantReaders(kind: RecordKind): Map<Pair<RecordKind, Int>, RecordReader> =
    mapOf(
        (kind to 1) to recordReader(AssistantRecord.serializer()) { copy(assistants = assistants.put(it.name, it)) },
        (kind to 2) to
            recordReader(AssistantRecordV2.serializer()) {
                val budget = requireNotNull(budgets[it.budgetName]) { "budgetName '${it.budgetName}' names no budget record" }
                copy(assistants = assistants.put(it.name, it.toRecord(budget.toBudget())))
            },
    )

/** One reader per kind and schema version. Old versions stay readable, so that each owner can migrate at its own pace. */
private val readers: Map<Pair<RecordKind, Int>, RecordReader> =
    mapOf(
        (RecordKind.OWNER to 1) to recordReader(OwnerRecord.serializer()) { copy(owners = owners.put(it.owner, it)) },
        (RecordKind.ACCOUNT to 1) to recordReader(AccountRecord.serializer()) { copy(accounts = accounts.put(it.account, it)) },
        (RecordKind.CALLER to 1) to recordReader(CallerRecord.serializer()) { copy(callers = callers.put(it.caller, it)) },
        (RecordKind.BUDGET to 1) to recordReader(BudgetRecord.serializer()) { withBudget(it) },
        (RecordKind.PRIORITY to 1) to recordReader(PriorityRecord.serializer()) { copy(priorities = priorities.put(it.serviceClass, it)) },
        (RecordKind.PROGRAM to 1) to recordReader(ProgramRecord.serializer()) { copy(programs = programs.put(it.name, it)) },
        (RecordKind.SERVER to 1) to recordReader(ServerRecord.serializer()) { copy(servers = servers.put(it.server, it)) },
        (RecordKind.TOOL to 1) to recordReader(ToolRecord.serializer()) { copy(tools = tools.put(it.tool, it)) },
        (RecordKind.TOOL to 2) to recordReader(ToolRecordV2.serializer()) { copy(tools = tools.put(it.tool, it.toRecord())) },
        (RecordKind.MODEL to 1) to recordReader(ModelRecord.serializer()) { copy(models = models.put(it.model, it)) },
    ) + assistantReaders(RecordKind.ASSISTANT) + assistantReaders(RecordKind.HELPER)

/** The schema versions of [kind] that this release reads. */
public fun supportedSchemaVersions(kind: RecordKind): List<Int> = readers.keys.filter { it.first == kind }.map { it.second }

/** Adds a budget and applies its new limits to the assistants that refer to it. */
private fun ConfigState.withBudget(record: BudgetRecord): ConfigState {
    val affected = assistants.values.filter { it.budgetName == record.name }
    return copy(
        budgets = budgets.put(record.name, record),
        assistants = affected.fold(assistants) { all, assistant -> all.put(assistant.name, assistant.copy(budget = record.toBudget())) },
    )
}

/** This state with [record] in force, or the reason why the record is invalid. */
internal fun ConfigState.withRecord(record: StoredRecord): Result<ConfigState, String> =
    parseObject(record).flatMap { json ->
        val kind = RecordKind.ofKeyOrNull(record.kind)
        val version = json["schemaVersion"]?.jsonPrimitive?.intOrNull
        val reader = readers[kind to version]
        when {
            kind == null -> Err("kind '${record.kind}' is not known; allowed: ${RecordKind.entries.joinToString { it.key }}")
            reader == null ->
                Err(
                    "schemaVersion '$version' of kind '${kind.key}' is not known here; " +
                        "allowed: ${supportedSchemaVersions(kind).joinToString()}",
                )
            else -> applyReader(reader, json)
        }
    }

private fun parseObject(record: StoredRecord): Result<JsonObject, String> =
    try {
        Ok(recordJson.decodeFromString(JsonObject.serializer(), record.json))
    } catch (e: SerializationException) {
        Err("not a JSON object: ${e.firstLine()}")
    }

private fun ConfigState.applyReader(
    reader: RecordReader,
    json: JsonObject,
): Result<ConfigState, String> =
    try {
        Ok(reader(this, JsonObject(json - "schemaVersion")))
    } catch (e: IllegalArgumentException) {
        Err(e.firstLine())
    }

private fun IllegalArgumentException.firstLine(): String = message?.lineSequence()?.first() ?: "not readable"

private fun <T> recordReader(
    deserializer: DeserializationStrategy<T>,
    addRecord: ConfigState.(T) -> ConfigState,
): RecordReader = { state, json -> state.addRecord(recordJson.decodeFromJsonElement(deserializer, json)) }

/** This state without the record that the deletion [record] refers to. */
internal fun ConfigState.withoutRecord(record: StoredRecord): ConfigState =
    when (RecordKind.ofKeyOrNull(record.kind)) {
        RecordKind.OWNER -> copy(owners = owners.removeFirstKey { it.value == record.name })
        RecordKind.ACCOUNT -> copy(accounts = accounts.removeFirstKey { it.value == record.name })
        RecordKind.CALLER -> copy(callers = callers.remove(record.name))
        RecordKind.ASSISTANT, RecordKind.HELPER -> copy(assistants = assistants.remove(record.name))
        RecordKind.BUDGET -> copy(budgets = budgets.remove(record.name))
        RecordKind.PRIORITY -> copy(priorities = priorities.removeFirstKey { it.name.lowercase() == record.name })
        RecordKind.PROGRAM -> copy(programs = programs.remove(record.name))
        RecordKind.SERVER -> copy(servers = servers.removeFirstKey { it.value == record.name })
        RecordKind.TOOL -> copy(tools = tools.removeFirstKey { it.value == record.name })
        RecordKind.MODEL -> copy(models = models.removeFirstKey { it.value == record.name })
        null -> this
    }

private fun <K, V> kotlinx.collections.immutable.PersistentMap<K, V>.removeFirstKey(
    matches: (K) -> Boolean,
): kotlinx.collections.immutable.PersistentMap<K, V> = keys.find(matches)?.let { remove(it) } ?: this
