package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.config.ConfigState
import lavendertrail.config.ServerKind
import lavendertrail.config.ServerRecord
import lavendertrail.config.ToolRecord
import lavendertrail.membership.NodeRecord
import lavendertrail.model.ModelId
import lavendertrail.model.NodeId
import lavendertrail.model.ServerId
import lavendertrail.model.ToolId

/**
 * The servers of each model and tool in this node's order of preference, derived from the configuration.
 *
 * The servers of a model are ordered by rendezvous hashing of node and server; the first `subsetServers` that accept calls
 * are the candidates. Each node therefore connects to few servers, each server is used by about as many nodes, and
 * a leaving server is replaced by one other. A region without servers for a model uses those of all regions.
 */
internal class RouteTable(
    private val servers: PersistentMap<ServerId, ServerRecord> = persistentHashMapOf(),
    private val tools: PersistentMap<ToolId, ToolRecord> = persistentHashMapOf(),
    private val byModel: Map<ModelId, List<ServerRecord>> = emptyMap(),
    private val byTool: Map<ToolId, List<ServerRecord>> = emptyMap(),
) {
    private val targetsByServer: Map<ServerId, List<Target>> =
        targets().flatMap { target -> serversOf(target).map { it.server to target } }.groupBy({ it.first }, { it.second })

    fun isDerivedFrom(config: ConfigState): Boolean = config.servers === servers && config.tools === tools

    fun serversOf(target: Target): List<ServerRecord> =
        when (target) {
            is Target.Model -> byModel[target.model].orEmpty()
            is Target.Tool -> byTool[target.tool].orEmpty()
        }

    fun targetsOf(server: ServerId): List<Target> = targetsByServer[server].orEmpty()

    fun models(): Set<ModelId> = byModel.keys

    fun targets(): List<Target> = byModel.keys.map { Target.Model(it) } + byTool.keys.map { Target.Tool(it) }
}

internal fun routeTable(
    config: ConfigState,
    self: NodeRecord,
): RouteTable {
    val engines = config.servers.values.filter { it.kind == ServerKind.ENGINE }
    val hashes = engines.associate { it.server to rendezvousHash(self.node, it.server) }
    val byModel =
        engines.flatMap { it.models }.toSet().associateWith { model ->
            val all = engines.filter { model in it.models }
            val inRegion = all.filter { it.region == self.region }
            inRegion.ifEmpty { all }.sortedByDescending { hashes.getValue(it.server) }
        }
    val byTool = config.tools.mapValues { (_, tool) -> tool.servers.mapNotNull { config.servers[it] } }
    return RouteTable(config.servers, config.tools, byModel, byTool)
}

/** FNV-1a over both names with a final mix, so that similar names have unrelated hashes. */
internal fun rendezvousHash(
    node: NodeId,
    server: ServerId,
): Long {
    var hash = -0x340d631b7bdddcdbL
    for (char in node.value + '/' + server.value) {
        hash = (hash xor char.code.toLong()) * 0x100000001b3L
    }
    hash = (hash xor (hash ushr 33)) * -0xae502812aa7333L
    hash = (hash xor (hash ushr 33)) * -0x3b314601e57a13adL
    return (hash xor (hash ushr 33)) and Long.MAX_VALUE
}
