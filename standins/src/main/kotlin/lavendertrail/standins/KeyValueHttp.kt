package lavendertrail.standins

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lavendertrail.http.ChunkStream
import lavendertrail.http.HttpBinding
import lavendertrail.model.StepError
import org.http4k.core.Body
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Serves [standin] over the protocol of etcd's v3 JSON gateway. The server is down during an [Outage.REFUSED]. */
public fun serveKeyValue(
    standin: KeyValueStandin,
    binding: HttpBinding = LOOPBACK,
): StandinServer {
    val server = StandinServer(binding, KeyValueHandler(standin)::handle)
    standin.addOutageListener { if (it == Outage.REFUSED) server.takeDown() else server.bringUp() }
    return server
}

private class KeyValueHandler(
    private val standin: KeyValueStandin,
) {
    fun handle(request: Request): Response {
        if (standin.outage == Outage.UNAVAILABLE) return errorResponse(Status.SERVICE_UNAVAILABLE, "the service is down")
        val body = parse(request.bodyString()) ?: return errorResponse(Status.BAD_REQUEST, "the body is no JSON object")
        return when (request.uri.path) {
            "/v3/kv/range" -> range(body)
            "/v3/kv/put" -> put(body)
            "/v3/kv/deleterange" -> deleteRange(body)
            "/v3/kv/txn" -> transaction(body)
            "/v3/lease/grant" -> grant(body)
            "/v3/lease/keepalive" -> keepAlive(body)
            "/v3/lease/revoke", "/v3/kv/lease/revoke" -> revoke(body)
            "/v3/watch" -> watch(body)
            else -> errorResponse(Status.NOT_FOUND, "no such path: ${request.uri.path}")
        }
    }

    private fun range(body: JsonObject): Response =
        standin
            .call("range", KeyValueCounter.READ, isWrite = false) { read(body.keyRange()) to revision }
            .toResponse { (found, revision) -> rangeAnswer(found, revision) }

    private fun put(body: JsonObject): Response =
        standin
            .call("put", KeyValueCounter.WRITE, isWrite = true) { transact(emptyList(), listOf(body.putOperation()), emptyList()) }
            .toResponse { buildJsonObject { putHeader(it.revision) } }

    private fun deleteRange(body: JsonObject): Response =
        standin
            .call("deleterange", KeyValueCounter.WRITE, isWrite = true) {
                transact(emptyList(), listOf(KeyValueOperation.Delete(body.keyRange())), emptyList())
            }.toResponse { it.answers.single().toJson(it.revision) }

    private fun transaction(body: JsonObject): Response {
        val onSuccess = body.objects("success").map { it.operation() }
        val onFailure = body.objects("failure").map { it.operation() }
        val expected = body.objects("compare").map { it.comparison() }
        return standin
            .call("txn", KeyValueCounter.WRITE, isWrite = true) { transact(expected, onSuccess, onFailure) }
            .toResponse { it.toJson() }
    }

    private fun grant(body: JsonObject): Response {
        val ttlSeconds = body.long("TTL")
        return standin
            .call("lease grant", KeyValueCounter.LEASE, isWrite = true) { grantLease(ttlSeconds * 1_000) to revision }
            .toResponse { (id, revision) -> leaseAnswer(id, ttlSeconds, revision) }
    }

    private fun keepAlive(body: JsonObject): Response {
        val id = body.long("ID")
        return standin
            .call("lease keepalive", KeyValueCounter.LEASE, isWrite = false) { keepAlive(id) / 1_000 to revision }
            .toResponse { (ttlSeconds, revision) -> buildJsonObject { put("result", leaseAnswer(id, ttlSeconds, revision)) } }
    }

    private fun revoke(body: JsonObject): Response =
        standin
            .call("lease revoke", KeyValueCounter.LEASE, isWrite = true) {
                endLease(body.long("ID"))
                revision
            }.toResponse { revision -> buildJsonObject { putHeader(revision) } }

    private fun watch(body: JsonObject): Response {
        val create = body.child("create_request") ?: return errorResponse(Status.BAD_REQUEST, "create_request is missing")
        val stream = ChunkStream()
        val sink = HttpWatchSink(stream)
        val watcher = Watcher(create.keyRange(), create.long("start_revision"), sink)
        sink.onClosed = { standin.closeWatch(watcher) }
        sink.sendCreated()
        standin.openWatch(watcher)
        return Response(Status.OK).header("content-type", "application/json").body(Body(stream))
    }

    private fun <T> Result<T, StepError>.toResponse(toJson: (T) -> JsonObject): Response =
        mapBoth({ jsonResponse(toJson(it).toString()) }, { toErrorResponse(it) })

    private fun toErrorResponse(error: StepError): Response =
        when {
            error.message == KeyValueStandin.LOST_RESPONSE_MESSAGE -> abortedResponse()
            standin.outage != Outage.NONE -> errorResponse(Status.SERVICE_UNAVAILABLE, error.message)
            else -> errorResponse(Status.BAD_REQUEST, error.message)
        }

    private fun errorResponse(
        status: Status,
        message: String,
    ): Response = jsonResponse(buildJsonObject { put("message", message) }.toString(), status)

    private fun parse(text: String): JsonObject? =
        try {
            Json.parseToJsonElement(text).let { element: JsonElement -> element as? JsonObject }
        } catch (e: IllegalArgumentException) {
            null
        }
}
