package lavendertrail.api

import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import lavendertrail.membership.probeMessage
import lavendertrail.model.NodeId
import lavendertrail.node.BackgroundExecutor
import lavendertrail.node.Peers
import lavendertrail.node.ServiceKeys
import lavendertrail.ports.KeyValue
import lavendertrail.reducer.NodeState
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Body of an update; [revision] is the revision that the operator read, 0 for a new record. */
@Serializable
internal data class ConfigPutBody(
    val revision: Long,
    val record: JsonObject,
)

@Serializable
internal data class ConfigDeleteBody(
    val revision: Long,
)

/** Operator routes for configuration records. */
internal class ConfigRoutes(
    private val context: RouteContext,
    private val store: ConfigStore,
    private val state: () -> NodeState,
    private val peers: Peers,
    private val background: BackgroundExecutor,
) {
    val routes: RoutingHttpHandler =
        routes(
            "/v1/admin/config" bind Method.GET to operator { request, _ -> list(request) },
            "/v1/admin/config-status" bind Method.GET to operator { _, _ -> status() },
            "/v1/admin/config/{kind}/{name}" bind Method.GET to operator { request, _ -> get(request) },
            "/v1/admin/config/{kind}/{name}" bind Method.PUT to operator(::put),
            "/v1/admin/config/{kind}/{name}" bind Method.DELETE to operator(::delete),
            "/v1/admin/config/{kind}/{name}/history" bind Method.GET to operator { request, _ -> history(request) },
        )

    private fun operator(handle: (Request, String) -> Response): (Request) -> Response =
        { request -> handle(request, context.authentication.operator(request)) }

    private fun list(request: Request): Response {
        val records = store.list(request.query("kind"))
        return jsonText(buildJsonArray { records.forEach { add(it.toJson()) } }.toString())
    }

    private fun get(request: Request): Response {
        val found = store.get(request.kind(), request.name()) ?: throw notFound("no record '${request.kind()}/${request.name()}'")
        return jsonText(found.toJson().toString())
    }

    private fun put(
        request: Request,
        operator: String,
    ): Response {
        val body = ApiJson.read(request, ConfigPutBody.serializer(), context.limits.maxJsonDepth)
        return changeResponse(store.put(request.kind(), request.name(), body.revision, body.record, operator))
    }

    private fun delete(
        request: Request,
        operator: String,
    ): Response {
        val body = ApiJson.read(request, ConfigDeleteBody.serializer(), context.limits.maxJsonDepth)
        return changeResponse(store.delete(request.kind(), request.name(), body.revision, operator))
    }

    /** If a concurrent change came first, the response has the current record, so that the operator can compare the two. */
    private fun changeResponse(change: ConfigChange): Response {
        val body =
            buildJsonObject {
                put("changed", change.won)
                put("current", change.current?.toJson() ?: JsonNull)
                put("audited", change.audited)
            }
        return jsonText(body.toString(), if (change.won) Status.OK else Status.CONFLICT)
    }

    private fun history(request: Request): Response {
        val entries = store.history(request.kind(), request.name())
        return jsonText(ApiJson.encode(ListSerializer(AuditEntry.serializer()), entries))
    }

    /** The applied revision at this node and at each peer, which is queried now; null for a peer that doesn't answer. */
    private fun status(): Response {
        val current = state()
        val peerRevisions =
            current.membership.peers.keys
                .associateWith(::fetchRevision)
        val body =
            buildJsonObject {
                put("node", current.self.node.value)
                put("revision", current.config.headRevision)
                put("appliedAtMillis", current.config.appliedAtMillis)
                putJsonObject("rejected") { current.config.rejected.forEach { (name, reason) -> put(name, reason) } }
                putJsonArray("peers") {
                    peerRevisions.forEach { (peer, revision) ->
                        addJsonObject {
                            put("node", peer.value)
                            put("revision", awaitOrNull(revision))
                        }
                    }
                }
            }
        return jsonText(body.toString())
    }

    private fun fetchRevision(peer: NodeId): CompletableFuture<Long?> =
        CompletableFuture.supplyAsync({ peers.peer(peer)?.probe(state().probeMessage(context.clock()))?.configRevision }, background)

    private fun awaitOrNull(revision: CompletableFuture<Long?>): Long? =
        try {
            revision.get(PEER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            null
        } catch (_: java.util.concurrent.ExecutionException) {
            null
        }

    private companion object {
        const val PEER_TIMEOUT_MILLIS = 2_000L
    }
}

private fun Request.kind(): String = path("kind").orEmpty()

private fun Request.name(): String = path("name").orEmpty()

private fun KeyValue.toJson(): JsonObject =
    buildJsonObject {
        val path = key.removePrefix(ServiceKeys.CONFIG)
        put("kind", path.substringBefore('/'))
        put("name", path.substringAfter('/'))
        put("revision", revision)
        put("record", toObject() ?: JsonNull)
    }
