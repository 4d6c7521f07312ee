package lavendertrail.node

import lavendertrail.config.ServerRecord
import lavendertrail.ports.HostList
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.ModelEngine
import lavendertrail.ports.ToolService
import lavendertrail.ports.WeightStore

/** The external systems that a node uses. [engine] and [tool] connect to one backend server each. */
public class Platform(
    public val keyValue: KeyValueService,
    public val hostList: HostList,
    public val weightStore: WeightStore,
    public val engine: (ServerRecord) -> ModelEngine,
    public val tool: (ServerRecord) -> ToolService,
)
