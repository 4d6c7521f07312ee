package lavendertrail.standins

import lavendertrail.model.FailureDomain
import lavendertrail.model.ModelId
import lavendertrail.model.OwnerId
import lavendertrail.model.RegionId
import lavendertrail.model.ServiceClass
import lavendertrail.model.ToolId

/** The engines of one model, assigned to the failure domains in rotation. [engine] defines their speed and memory. */
public data class ModelGroup(
    public val model: ModelId,
    public val engines: Int,
    public val engine: EngineSettings,
)

/** A tool or plain service with one server in each of the first [servers] failure domains. */
public data class ToolGroup(
    public val tool: ToolId,
    public val servers: Int,
    public val repeatable: Boolean,
    public val settings: ToolSettings,
    public val hasStatusCall: Boolean = true,
    public val costMicros: Long = 0,
)

/** An assistant configured on the platform, and the model it uses. */
public data class AssistantGroup(
    public val name: String,
    public val model: ModelId,
    public val serviceClass: ServiceClass = ServiceClass.NORMAL,
    public val helpers: List<String> = emptyList(),
)

/** The configuration of one owner. [accountTokens] maps account names to their bearer tokens. */
public data class OwnerGroup(
    public val owner: OwnerId,
    public val region: RegionId,
    public val failureDomains: List<FailureDomain>,
    public val models: List<ModelGroup>,
    public val tools: List<ToolGroup>,
    public val assistants: List<AssistantGroup>,
    public val accountTokens: Map<String, String>,
)

/** The services that [StandinPlatform] starts. A [timeScale] of 20 makes all model and tool times 20 times shorter. */
public data class PlatformSettings(
    public val owners: List<OwnerGroup>,
    public val seed: Long = 1,
    public val timeScale: Double = 1.0,
    public val keyValue: KeyValueSettings = KeyValueSettings(),
    public val hostListLagMillis: Long = 1_000,
    public val downloadSlots: Int = 2,
)
