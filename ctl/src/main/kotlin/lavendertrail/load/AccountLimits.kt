package lavendertrail.load

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import lavendertrail.dev.DevCluster

private const val MAX_RUNNING_CALLS = 1_000_000

/**
 * Raises the limits of running calls of all accounts before the cluster starts. The load comes from one or two accounts, so the
 * default limit of 64 calls would otherwise limit the load before the engines do.
 */
internal fun DevCluster.raiseAccountLimits() {
    platform.records.filter { it.kind == "account" }.forEach { record ->
        val raised = JsonObject(Json.parseToJsonElement(record.json).jsonObject + ("maxRunningCalls" to JsonPrimitive(MAX_RUNNING_CALLS)))
        val revision =
            platform.keyValue
                .get(record.key)
                .getOrElse { error("reading ${record.key} failed: $it") }
                ?.revision ?: 0
        platform.keyValue.swap(record.key, revision, raised.toString()).getOrElse { error("writing ${record.key} failed: $it") }
    }
}
