package lavendertrail.standins

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import lavendertrail.config.AccountRecord
import lavendertrail.config.AssistantRecord
import lavendertrail.config.ModelRecord
import lavendertrail.config.OwnerRecord
import lavendertrail.config.ServerKind
import lavendertrail.config.ServerRecord
import lavendertrail.config.ToolRecord
import lavendertrail.history.sha256Hex
import lavendertrail.model.AccountId
import lavendertrail.model.Budget
import lavendertrail.model.FailureDomain

/** A configuration record as stored in the key-value service under `lavendertrail/config/<kind>/<name>`. */
public data class PlatformRecord(
    public val kind: String,
    public val name: String,
    public val json: String,
) {
    public val key: String get() = "lavendertrail/config/$kind/$name"
}

private val json =
    Json {
        encodeDefaults = true
        explicitNulls = false
    }

private const val SCHEMA_VERSION = 1

/** A program at the two-year size has up to 510 turns and 870,000 history tokens, which each turn reads again at cached rates. */
private val ASSISTANT_BUDGET = Budget(maxTokens = 400_000_000, maxCostMicros = 100_000_000, maxTurns = 600, maxWallMillis = 24 * 3_600_000L)

private fun <T> platformRecord(
    kind: String,
    name: String,
    serializer: KSerializer<T>,
    value: T,
): PlatformRecord {
    val fields = json.encodeToJsonElement(serializer, value).jsonObject
    return PlatformRecord(kind, name, JsonObject(mapOf("schemaVersion" to JsonPrimitive(SCHEMA_VERSION)) + fields).toString())
}

internal fun OwnerGroup.records(
    engines: List<RunningEngine>,
    tools: List<RunningTool>,
    timeScale: Double,
): List<PlatformRecord> =
    listOf(platformRecord("owner", owner.value, OwnerRecord.serializer(), OwnerRecord(owner, region))) +
        models.map { platformRecord("model", it.model.value, ModelRecord.serializer(), it.toRecord(timeScale)) } +
        engines.map { platformRecord("server", it.server.value, ServerRecord.serializer(), it.toRecord(this)) } +
        tools.map { platformRecord("server", it.server.value, ServerRecord.serializer(), it.toRecord(this)) } +
        this.tools.map { group -> platformRecord("tool", group.tool.value, ToolRecord.serializer(), group.toRecord(tools)) } +
        assistants.map { platformRecord("assistant", it.name, AssistantRecord.serializer(), it.toRecord(this)) } +
        accountTokens.map { (name, token) -> platformRecord("account", name, AccountRecord.serializer(), toAccount(name, token)) }

/** Rates are in real time, as callers observe them. The expected decode rate is that of a half-full batch. */
private fun ModelGroup.toRecord(timeScale: Double): ModelRecord =
    ModelRecord(
        model = model,
        prefillTokensPerSecond = engine.prefillTokensPerSecond * timeScale,
        decodeTokensPerSecond = timeScale * engine.decodeTokensPerSecond / (1 + engine.decodeSlowdownPerCall * engine.maxRunningCalls / 2),
        transferTokensPerSecond = engine.transferTokensPerSecond * timeScale,
    )

private fun RunningEngine.toRecord(owner: OwnerGroup): ServerRecord =
    ServerRecord(
        server = server,
        kind = ServerKind.ENGINE,
        address = address,
        owner = owner.owner,
        region = owner.region,
        failureDomain = failureDomain,
        models = standin.settings.models,
        maxRunningCalls = standin.settings.maxRunningCalls,
        cacheCapacityTokens = standin.settings.cacheCapacityTokens,
        checksFencing = standin.settings.checksFencing,
    )

private fun RunningTool.toRecord(owner: OwnerGroup): ServerRecord =
    ServerRecord(
        server = server,
        kind = ServerKind.TOOL,
        address = address,
        owner = owner.owner,
        region = owner.region,
        failureDomain = failureDomain,
    )

private fun ToolGroup.toRecord(running: List<RunningTool>): ToolRecord =
    ToolRecord(
        tool = tool,
        servers = running.filter { it.tool == tool }.map { it.server },
        repeatable = repeatable,
        hasStatusCall = hasStatusCall,
        costMicros = costMicros,
    )

private fun AssistantGroup.toRecord(owner: OwnerGroup): AssistantRecord =
    AssistantRecord(name, owner.owner, model, serviceClass, ASSISTANT_BUDGET, helpers)

private fun OwnerGroup.toAccount(
    name: String,
    token: String,
): AccountRecord = AccountRecord(AccountId(name), owner, tokenSha256 = listOf(sha256Hex(token)))

/** Assigns failure domains in rotation. */
internal fun OwnerGroup.failureDomainAt(index: Int): FailureDomain = failureDomains[index % failureDomains.size]
