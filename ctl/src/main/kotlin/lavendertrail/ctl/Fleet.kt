package lavendertrail.ctl

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** A node of the fleet. [dead] is true if the queried node considers it dead. */
internal class FleetNode(
    val node: String,
    val client: AdminClient,
    val dead: Boolean,
)

/** The response of one node: [body], or null with the [error]. */
internal class NodeResponse(
    val node: String,
    val body: JsonElement?,
    val error: String? = null,
)

/** The node [first] and all peers that its dump lists. */
internal class Fleet(
    val first: AdminClient,
) {
    val dump: JsonObject = first.get("/v1/admin/dump").asObject("dump")

    val nodes: List<FleetNode> =
        (listOf(FleetNode(dump.stringField("node").orEmpty(), first, dead = false)) + peers()).distinctBy { it.node }.sortedBy { it.node }

    fun queryAll(path: String): List<NodeResponse> = nodes.map { query(it) { client -> client.get(path) } }

    private fun peers(): List<FleetNode> =
        dump.arrayField("peers").mapNotNull { peer ->
            val fields = peer as? JsonObject ?: return@mapNotNull null
            val node = fields.stringField("node") ?: return@mapNotNull null
            FleetNode(node, first.forAddress(fields.stringField("apiAddress") ?: return@mapNotNull null), fields.booleanField("dead"))
        }

    private fun query(
        node: FleetNode,
        request: (AdminClient) -> JsonElement,
    ): NodeResponse =
        try {
            NodeResponse(node.node, request(node.client))
        } catch (e: CommandExit) {
            NodeResponse(node.node, null, if (node.dead) "dead" else e.message)
        }
}

internal fun JsonElement.asObject(what: String): JsonObject = this as? JsonObject ?: throw CommandExit("$what is not a JSON object: $this")

internal fun JsonObject.stringField(name: String): String? = (get(name) as? JsonPrimitive)?.contentOrNull

internal fun JsonObject.longField(name: String): Long? = (get(name) as? JsonPrimitive)?.longOrNull

internal fun JsonObject.intField(name: String): Int? = (get(name) as? JsonPrimitive)?.intOrNull

internal fun JsonObject.booleanField(name: String): Boolean = (get(name) as? JsonPrimitive)?.booleanOrNull ?: false

internal fun JsonObject.arrayField(name: String): List<JsonElement> = get(name) as? JsonArray ?: emptyList()

internal fun JsonObject.objectField(name: String): JsonObject = get(name) as? JsonObject ?: JsonObject(emptyMap())
