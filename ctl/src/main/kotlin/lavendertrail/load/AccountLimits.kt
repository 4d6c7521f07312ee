package lavendertrail.load

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import lavendertrail.dev.DevCluster

private const val UNLIMITED = 1_000_000

/**
 * Raises the accounts' limits of running calls before the cluster starts. The load comes from one or two accounts, so
 * that their default limit of 64 calls would be measured instead of the engines.
 */
internal fun DevCluster.liftAccountLimits() {
    platform.records.filter { it.kind == "account" }.forEach { record ->
        val lifted = JsonObject(Json.parseToJsonElement(record.json).jsonObject + ("maxRunningCalls" to JsonPrimitive(UNLIMITED)))
        val revision =
            platform.keyValue
                .get(record.key)
                .getOrElse { error(it.toString()) }
                ?.revision ?: 0
        platform.keyValue.swap(record.key, revision, lifted.toString()).getOrElse { error(it.toString()) }
    }
}
