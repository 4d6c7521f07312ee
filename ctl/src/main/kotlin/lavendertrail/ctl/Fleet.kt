package lavendertrail.ctl

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** A node that the dump of the asked node lists. */
internal class FleetNode(
    val node: String,
    val client: AdminClient,
    val dead: Boolean,
)

/** What one node answered, or why there is no answer. */
internal class NodeAnswer(
    val node: String,
    val body: JsonElement?,
    val error: String? = null,
)

/** All nodes that [first] knows of, itself included. */
internal class Fleet(
    val first: AdminClient,
) {
    val dump: JsonObject = first.get("/v1/admin/dump").asObject("dump")

    val nodes: List<FleetNode> =
        (listOf(FleetNode(dump.text("node").orEmpty(), first, dead = false)) + peers()).distinctBy { it.node }.sortedBy { it.node }

    fun ask(path: String): List<NodeAnswer> = nodes.map { answerOf(it) { client -> client.get(path) } }

    private fun peers(): List<FleetNode> =
        dump.list("peers").mapNotNull { peer ->
            val fields = peer as? JsonObject ?: return@mapNotNull null
            val node = fields.text("node") ?: return@mapNotNull null
            FleetNode(node, first.at(fields.text("apiAddress") ?: return@mapNotNull null), fields.flag("dead"))
        }

    private fun answerOf(
        node: FleetNode,
        ask: (AdminClient) -> JsonElement,
    ): NodeAnswer =
        try {
            NodeAnswer(node.node, ask(node.client))
        } catch (e: CommandEnd) {
            NodeAnswer(node.node, null, if (node.dead) "dead" else e.message)
        }
}

internal fun JsonElement.asObject(what: String): JsonObject = this as? JsonObject ?: throw CommandEnd("$what is not a JSON object: $this")

internal fun JsonObject.text(name: String): String? = (get(name) as? JsonPrimitive)?.contentOrNull

internal fun JsonObject.number(name: String): Long? = (get(name) as? JsonPrimitive)?.longOrNull

internal fun JsonObject.count(name: String): Int? = (get(name) as? JsonPrimitive)?.intOrNull

internal fun JsonObject.flag(name: String): Boolean = (get(name) as? JsonPrimitive)?.booleanOrNull ?: false

internal fun JsonObject.list(name: String): List<JsonElement> = get(name) as? JsonArray ?: emptyList()

internal fun JsonObject.child(name: String): JsonObject = get(name) as? JsonObject ?: JsonObject(emptyMap())
