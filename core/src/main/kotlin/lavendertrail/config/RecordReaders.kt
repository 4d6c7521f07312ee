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

/** Puts the record that a JSON object holds into force. */
internal typealias RecordReader = (ConfigState, JsonObject) -> ConfigState

private val recordJson = Json { allowComments = true }

/** One reader for each kind and schema version, side by side, so that both owners can move to a new version in their own time. */
private val readers: Map<Pair<RecordKind, Int>, RecordReader> =
    mapOf(
        (RecordKind.OWNER to 1) to reader(OwnerRecord.serializer()) { copy(owners = owners.put(it.owner, it)) },
        (RecordKind.ACCOUNT to 1) to reader(AccountRecord.serializer()) { copy(accounts = accounts.put(it.account, it)) },
        (RecordKind.ASSISTANT to 1) to reader(AssistantRecord.serializer()) { copy(assistants = assistants.put(it.name, it)) },
        (RecordKind.HELPER to 1) to reader(AssistantRecord.serializer()) { copy(assistants = assistants.put(it.name, it)) },
        (RecordKind.SERVER to 1) to reader(ServerRecord.serializer()) { copy(servers = servers.put(it.server, it)) },
        (RecordKind.TOOL to 1) to reader(ToolRecord.serializer()) { copy(tools = tools.put(it.tool, it)) },
        (RecordKind.MODEL to 1) to reader(ModelRecord.serializer()) { copy(models = models.put(it.model, it)) },
    )

/** This state with [record] in force, or why the record can't be read. */
internal fun ConfigState.read(record: StoredRecord): Result<ConfigState, String> =
    parseObject(record).flatMap { json ->
        val kind = RecordKind.ofKeyOrNull(record.kind)
        val version = json["schemaVersion"]?.jsonPrimitive?.intOrNull
        val reader = readers[kind to version]
        when {
            kind == null -> Err("kind '${record.kind}' is not known; allowed: ${RecordKind.entries.joinToString { it.key }}")
            reader == null -> Err("schemaVersion '$version' of kind '${kind.key}' is not known here; allowed: ${versionsOf(kind)}")
            else -> readWith(reader, json)
        }
    }

private fun versionsOf(kind: RecordKind): String = readers.keys.filter { it.first == kind }.joinToString { it.second.toString() }

private fun parseObject(record: StoredRecord): Result<JsonObject, String> =
    try {
        Ok(recordJson.decodeFromString(JsonObject.serializer(), record.json))
    } catch (e: SerializationException) {
        Err("not a JSON object: ${e.message?.lineSequence()?.first()}")
    }

private fun ConfigState.readWith(
    reader: RecordReader,
    json: JsonObject,
): Result<ConfigState, String> =
    try {
        Ok(reader(this, JsonObject(json - "schemaVersion")))
    } catch (e: IllegalArgumentException) {
        Err(e.message?.lineSequence()?.first() ?: "not readable")
    }

private fun <T> reader(
    strategy: DeserializationStrategy<T>,
    put: ConfigState.(T) -> ConfigState,
): RecordReader = { state, json -> state.put(recordJson.decodeFromJsonElement(strategy, json)) }

/** This state without the record that [record] deletes. */
internal fun ConfigState.without(record: StoredRecord): ConfigState =
    when (RecordKind.ofKeyOrNull(record.kind)) {
        RecordKind.OWNER -> copy(owners = owners.removing { it.value == record.name })
        RecordKind.ACCOUNT -> copy(accounts = accounts.removing { it.value == record.name })
        RecordKind.ASSISTANT, RecordKind.HELPER -> copy(assistants = assistants.remove(record.name))
        RecordKind.SERVER -> copy(servers = servers.removing { it.value == record.name })
        RecordKind.TOOL -> copy(tools = tools.removing { it.value == record.name })
        RecordKind.MODEL -> copy(models = models.removing { it.value == record.name })
        RecordKind.BUDGET, RecordKind.PRIORITY, null -> this
    }

private fun <K, V> kotlinx.collections.immutable.PersistentMap<K, V>.removing(
    matches: (K) -> Boolean,
): kotlinx.collections.immutable.PersistentMap<K, V> = keys.find(matches)?.let { remove(it) } ?: this
