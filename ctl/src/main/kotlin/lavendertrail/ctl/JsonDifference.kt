package lavendertrail.ctl

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** A difference of two JSON documents at [path]. A side is null if it has no value there. */
@Serializable
internal data class JsonDifference(
    val path: String,
    val left: JsonElement?,
    val right: JsonElement?,
) {
    override fun toString(): String = "$path: ${left ?: "absent"} -> ${right ?: "absent"}"
}

/** Lists the differing values in the order of their paths. Arrays are compared index by index. */
internal fun jsonDiff(
    left: JsonElement?,
    right: JsonElement?,
    path: String = "$",
): List<JsonDifference> =
    when {
        left == right -> emptyList()

        left is JsonObject && right is JsonObject ->
            (left.keys + right.keys).sorted().flatMap { jsonDiff(left[it], right[it], "$path.$it") }

        left is JsonArray && right is JsonArray ->
            (0 until maxOf(left.size, right.size)).flatMap { jsonDiff(left.getOrNull(it), right.getOrNull(it), "$path[$it]") }

        else -> listOf(JsonDifference(path, left, right))
    }
