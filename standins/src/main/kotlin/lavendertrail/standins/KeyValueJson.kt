package lavendertrail.standins

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import lavendertrail.http.ChunkStream
import lavendertrail.ports.KeyValue
import java.util.Base64

internal fun JsonObject.text(name: String): String? = get(name)?.jsonPrimitive?.content

internal fun JsonObject.long(name: String): Long = text(name)?.toLong() ?: 0

internal fun JsonObject.child(name: String): JsonObject? = get(name) as? JsonObject

internal fun JsonObject.objects(name: String): List<JsonObject> = (get(name) as? JsonArray)?.map { it.jsonObject }.orEmpty()

internal fun JsonObjectBuilder.putHeader(revision: Long) {
    put("header", buildJsonObject { put("revision", revision.toString()) })
}

/** A `range_end` of the single byte 0 means an unbounded range; a `key` of it starts at the first key. */
internal fun JsonObject.keyRange(): KeyRange {
    val from = decodeBase64("key").orEmpty()
    val until = decodeBase64("range_end")
    return KeyRange(if (from == ZERO_BYTE) "" else from, if (until == ZERO_BYTE) "" else until?.ifEmpty { null })
}

internal fun JsonObject.putOperation(): KeyValueOperation.Put =
    KeyValueOperation.Put(decodeBase64("key").orEmpty(), decodeBase64("value").orEmpty(), long("lease").takeIf { it != 0L })

internal fun JsonObject.operation(): KeyValueOperation {
    child("request_put")?.let { return it.putOperation() }
    child("request_delete_range")?.let { return KeyValueOperation.Delete(it.keyRange()) }
    val range = requireNotNull(child("request_range")) { "operation must be a put, delete or range, was $this" }
    return KeyValueOperation.Read(range.keyRange())
}

/** Supports only equality of the modification revision. */
internal fun JsonObject.comparison(): Pair<String, Long> {
    require(text("target") == "MOD" && (text("result") ?: "EQUAL") == "EQUAL") { "compare must be MOD EQUAL, was $this" }
    return decodeBase64("key").orEmpty() to long("mod_revision")
}

internal fun rangeAnswer(
    found: List<KeyValue>,
    revision: Long,
): JsonObject =
    buildJsonObject {
        putHeader(revision)
        if (found.isNotEmpty()) put("kvs", JsonArray(found.map { it.toJson() }))
        put("count", found.size.toString())
    }

internal fun TransactionAnswer.toJson(): JsonObject =
    buildJsonObject {
        putHeader(revision)
        if (succeeded) put("succeeded", true)
        put("responses", JsonArray(answers.map { answer -> buildJsonObject { put(answer.responseName, answer.toJson(revision)) } }))
    }

internal fun OperationAnswer.toJson(revision: Long): JsonObject =
    when (operation) {
        is KeyValueOperation.Read -> rangeAnswer(found, revision)

        is KeyValueOperation.Put -> buildJsonObject { putHeader(revision) }

        is KeyValueOperation.Delete ->
            buildJsonObject {
                putHeader(revision)
                put("deleted", deleted.toString())
            }
    }

internal fun leaseAnswer(
    id: Long,
    ttlSeconds: Long,
    revision: Long,
): JsonObject =
    buildJsonObject {
        putHeader(revision)
        put("ID", id.toString())
        if (ttlSeconds > 0) put("TTL", ttlSeconds.toString())
    }

/** Writes the messages of a watch, one JSON object per line. */
internal class HttpWatchSink(
    private val stream: ChunkStream,
) : WatchSink {
    var onClosed: () -> Unit = {}

    fun sendCreated(): Unit = sendMessage { put("created", true) }

    override fun reportChanges(
        changes: List<StoredChange>,
        revision: Long,
    ) {
        if (stream.isClosed) return onClosed()
        sendMessage {
            putHeader(revision)
            if (changes.isNotEmpty()) put("events", JsonArray(changes.map { it.toJson() }))
        }
    }

    override fun reportCompacted(firstWatchableRevision: Long) {
        sendMessage {
            put("canceled", true)
            put("compact_revision", firstWatchableRevision.toString())
        }
        stream.end()
    }

    override fun reportBroken(reason: String): Unit = stream.abort()

    private fun sendMessage(content: JsonObjectBuilder.() -> Unit) {
        stream.send(buildJsonObject { put("result", buildJsonObject(content)) }.toString() + "\n")
    }

    private fun StoredChange.toJson(): JsonObject =
        buildJsonObject {
            if (value == null) put("type", "DELETE")
            put("kv", KeyValue(key, value.orEmpty(), revision).toJson())
        }
}

private const val ZERO_BYTE = "\u0000"

private val OperationAnswer.responseName: String
    get() =
        when (operation) {
            is KeyValueOperation.Put -> "response_put"
            is KeyValueOperation.Delete -> "response_delete_range"
            is KeyValueOperation.Read -> "response_range"
        }

private fun KeyValue.toJson(): JsonObject =
    buildJsonObject {
        put("key", encodeBase64(key))
        if (value.isNotEmpty()) put("value", encodeBase64(value))
        put("mod_revision", revision.toString())
    }

private fun encodeBase64(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())

private fun JsonObject.decodeBase64(name: String): String? = text(name)?.let { String(Base64.getDecoder().decode(it)) }
