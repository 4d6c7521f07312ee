package lavendertrail.adapters

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.KeyValueSnapshot
import lavendertrail.ports.SwapAnswer
import lavendertrail.ports.WatchBatch
import org.http4k.core.HttpHandler
import org.http4k.core.Method

/**
 * The key-value service at [address] (`ip:port`), accessed through etcd's v3 JSON gateway. Nothing is retried: a failed call
 * returns an error, and a watch that ended is not reopened.
 */
public fun httpKeyValueService(
    address: String,
    timeoutMillis: Long = 5_000,
    http: HttpHandler = SharedClients.pooled,
): KeyValueService = HttpKeyValueService(JsonPeer("key-value service $address", address, http, timeoutMillis))

/** See [httpKeyValueService]. */
internal class HttpKeyValueService(
    private val peer: JsonPeer,
) : KeyValueService {
    override fun range(prefix: String): Result<KeyValueSnapshot, StepError> =
        post("key-value range", "/v3/kv/range", buildJsonObject { putPrefix(prefix) }).map { answer ->
            KeyValueSnapshot(answer.objects("kvs").map { it.toKeyValue() }, answer.headerRevision)
        }

    override fun get(key: String): Result<KeyValue?, StepError> =
        post("key-value get", "/v3/kv/range", keyObject(key)).map { it.firstKeyValue() }

    override fun swap(
        key: String,
        expectedRevision: Long,
        value: String,
        leaseId: Long?,
    ): Result<SwapAnswer, StepError> = swap(key, expectedRevision, value, leaseId, absentKey = null)

    override fun swapWhileAbsent(
        key: String,
        expectedRevision: Long,
        value: String,
        absentKey: String,
    ): Result<SwapAnswer, StepError> = swap(key, expectedRevision, value, leaseId = null, absentKey)

    private fun swap(
        key: String,
        expectedRevision: Long,
        value: String,
        leaseId: Long?,
        absentKey: String?,
    ): Result<SwapAnswer, StepError> {
        val put =
            buildJsonObject {
                put("key", key.toBase64())
                put("value", value.toBase64())
                if (leaseId != null) put("lease", leaseId.toString())
            }
        return post("key-value swap", "/v3/kv/txn", transaction(key, expectedRevision, singleField("request_put", put), absentKey))
            .map { it.toSwapAnswer { revision -> KeyValue(key, value, revision) } }
    }

    override fun delete(
        key: String,
        expectedRevision: Long,
    ): Result<SwapAnswer, StepError> =
        post("key-value delete", "/v3/kv/txn", transaction(key, expectedRevision, singleField("request_delete_range", keyObject(key))))
            .map { it.toSwapAnswer { null } }

    override fun grantLease(ttlMillis: Long): Result<Long, StepError> =
        post("lease grant", "/v3/lease/grant", buildJsonObject { put("TTL", ((ttlMillis + 999) / 1_000).toString()) })
            .map { it.long("ID") }

    override fun keepAlive(leaseId: Long): Result<Boolean, StepError> =
        post("lease keep-alive", "/v3/lease/keepalive", leaseObject(leaseId))
            .map { (it.child("result") ?: it).long("TTL") > 0 }

    override fun revokeLease(leaseId: Long): Result<Unit, StepError> =
        post("lease revoke", "/v3/lease/revoke", leaseObject(leaseId)).map { }

    override fun watch(
        prefix: String,
        afterRevision: Long,
        idleLimitMillis: Long,
        onBatch: (WatchBatch) -> Unit,
        onEnd: (StepError) -> Unit,
    ): AutoCloseable {
        val create =
            buildJsonObject {
                putPrefix(prefix)
                put("start_revision", (afterRevision + 1).toString())
                put("progress_notify", true)
            }
        val request = peer.request(Method.POST, "/v3/watch", singleField("create_request", create).toString())
        return HttpWatch(peer, request, idleLimitMillis, onBatch, onEnd).also { it.start() }
    }

    override fun close(): Unit = Unit

    private fun post(
        step: String,
        path: String,
        body: JsonObject,
    ): Result<JsonObject, StepError> = peer.json(step, peer.request(Method.POST, path, body.toString()))

    private fun JsonObject.toSwapAnswer(written: (Long) -> KeyValue?): SwapAnswer =
        if (flag("succeeded")) {
            SwapAnswer(won = true, current = written(headerRevision))
        } else {
            SwapAnswer(won = false, current = firstResponse("response_range")?.firstKeyValue())
        }

    private fun transaction(
        key: String,
        expectedRevision: Long,
        operation: JsonObject,
        absentKey: String? = null,
    ): JsonObject =
        buildJsonObject {
            put("compare", JsonArray(listOf(compare(key, expectedRevision)) + listOfNotNull(absentKey).map { compare(it, 0) }))
            put("success", JsonArray(listOf(operation)))
            put("failure", JsonArray(listOf(singleField("request_range", keyObject(key)))))
        }

    private fun compare(
        key: String,
        expectedRevision: Long,
    ): JsonObject =
        buildJsonObject {
            put("key", key.toBase64())
            put("target", "MOD")
            put("result", "EQUAL")
            put("mod_revision", expectedRevision.toString())
        }

    private fun singleField(
        name: String,
        value: JsonObject,
    ): JsonObject = buildJsonObject { put(name, value) }

    private fun leaseObject(leaseId: Long): JsonObject = buildJsonObject { put("ID", leaseId.toString()) }
}
