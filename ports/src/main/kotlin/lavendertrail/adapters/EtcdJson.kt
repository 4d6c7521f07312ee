package lavendertrail.adapters

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import lavendertrail.ports.KeyValue
import java.util.Base64

internal fun String.toBase64(): String = Base64.getEncoder().encodeToString(toByteArray())

internal fun String.fromBase64(): String = String(Base64.getDecoder().decode(this))

internal fun JsonObject.text(name: String): String? = get(name)?.jsonPrimitive?.content

/** The JSON gateway encodes 64-bit numbers as strings and omits zeros. */
internal fun JsonObject.long(name: String): Long = text(name)?.toLong() ?: 0

internal fun JsonObject.flag(name: String): Boolean = text(name).toBoolean()

internal fun JsonObject.objects(name: String): List<JsonObject> = (get(name) as? JsonArray)?.map { it.jsonObject }.orEmpty()

internal fun JsonObject.child(name: String): JsonObject? = get(name) as? JsonObject

internal val JsonObject.headerRevision: Long get() = child("header")?.long("revision") ?: 0

internal fun JsonObject.toKeyValue(): KeyValue =
    KeyValue(
        key = text("key").orEmpty().fromBase64(),
        value = text("value").orEmpty().fromBase64(),
        revision = long("mod_revision"),
    )

/** Adds the range of all keys that start with [prefix]; an empty prefix selects all keys. */
internal fun JsonObjectBuilder.putPrefix(prefix: String) {
    val bytes = prefix.toByteArray()
    if (bytes.isEmpty()) {
        put("key", ZERO_KEY)
        put("range_end", ZERO_KEY)
        return
    }
    put("key", prefix.toBase64())
    val end = bytes.copyOf()
    end[end.lastIndex]++
    put("range_end", Base64.getEncoder().encodeToString(end))
}

internal fun keyObject(key: String): JsonObject = buildJsonObject { put("key", key.toBase64()) }

internal fun JsonObject.firstResponse(name: String): JsonObject? =
    (get("responses") as? JsonArray)?.firstNotNullOfOrNull { it.jsonObject.child(name) }

internal fun JsonObject.firstKeyValue(): KeyValue? =
    get("kvs")
        ?.jsonArray
        ?.firstOrNull()
        ?.jsonObject
        ?.toKeyValue()

/** Base64 of the single byte 0, which the protocol interprets as the first key in `key` and as the last key in `range_end`. */
private val ZERO_KEY: String = Base64.getEncoder().encodeToString(byteArrayOf(0))
