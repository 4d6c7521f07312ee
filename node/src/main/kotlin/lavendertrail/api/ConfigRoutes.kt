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

/** Body of a change; [revision] is the one that the operator read, 0 for a new record. */
@Serializable
internal data class ConfigPutBody(
    val revision: Long,
    val record: JsonObject,
)

@Serializable
internal data class ConfigDeleteBody(
    val revision: Long,
)

/** Operators' routes about configuration. */
internal class ConfigRoutes(
    private val entry: Entry,
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
        { request -> handle(request, entry.authentication.operator(request)) }

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
        val body = ApiJson.read(request, ConfigPutBody.serializer(), entry.limits.maxJsonDepth)
        return answer(store.put(request.kind(), request.name(), body.revision, body.record, operator))
    }

    private fun delete(
        request: Request,
        operator: String,
    ): Response {
        val body = ApiJson.read(request, ConfigDeleteBody.serializer(), entry.limits.maxJsonDepth)
        return answer(store.delete(request.kind(), request.name(), body.revision, operator))
    }

    /** The loser of two concurrent changes gets the record that stands, so that the difference can be shown. */
    private fun answer(change: ConfigChange): Response {
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

    /** The revision in force at this node and, asked now, at each peer. A peer that doesn't answer has none. */
    private fun status(): Response {
        val current = state()
        val asked =
            current.membership.peers.keys
                .associateWith(::askRevision)
        val body =
            buildJsonObject {
                put("node", current.self.node.value)
                put("revision", current.config.headRevision)
                put("appliedAtMillis", current.config.appliedAtMillis)
                putJsonObject("rejected") { current.config.rejected.forEach { (name, reason) -> put(name, reason) } }
                putJsonArray("peers") {
                    asked.forEach { (peer, revision) ->
                        addJsonObject {
                            put("node", peer.value)
                            put("revision", await(revision))
                        }
                    }
                }
            }
        return jsonText(body.toString())
    }

    private fun askRevision(peer: NodeId): CompletableFuture<Long?> =
        CompletableFuture.supplyAsync({ peers.peer(peer)?.probe(state().probeMessage(entry.clock()))?.configRevision }, background)

    private fun await(revision: CompletableFuture<Long?>): Long? =
        try {
            revision.get(PEER_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            null
        } catch (_: java.util.concurrent.ExecutionException) {
            null
        }

    private companion object {
        const val PEER_LIMIT_MILLIS = 2_000L
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
