package lavendertrail.standins

import lavendertrail.model.FailureDomain
import lavendertrail.model.ModelId
import lavendertrail.model.OwnerId
import lavendertrail.model.RegionId
import lavendertrail.model.ServerId
import lavendertrail.model.ServiceClass
import lavendertrail.model.ToolId

/**
 * The two platforms described in docs/design.md, at their present size. Speeds and memory are the defaults of
 * [EngineSettings] unless a reason is given.
 */
public object PlatformPresets {
    /** Region batinah: assist-model on 8 servers, permit-desk on 5. */
    public fun barakah(
        seed: Long = 1,
        timeScale: Double = 1.0,
    ): PlatformSettings = PlatformSettings(listOf(barakahGroup(8, 5)), seed, timeScale)

    /** Region cl-centro: taller-llm on 8 servers, oficina-app on 6. */
    public fun valdivieso(
        seed: Long = 1,
        timeScale: Double = 1.0,
    ): PlatformSettings = PlatformSettings(listOf(valdiviesoGroup(8, 6)), seed, timeScale)

    /** Both owners with two engines per model, for short runs. */
    public fun small(
        seed: Long = 1,
        timeScale: Double = 1.0,
    ): PlatformSettings = PlatformSettings(listOf(barakahGroup(2, 2), valdiviesoGroup(2, 2)), seed, timeScale)

    private fun barakahGroup(
        assistEngines: Int,
        permitEngines: Int,
    ): OwnerGroup {
        val assist = ModelId("assist-model")
        val permit = ModelId("permit-desk")
        return OwnerGroup(
            owner = OwnerId("barakah"),
            region = RegionId("batinah"),
            failureDomains = listOf("sohar", "shinas", "liwa").map(::FailureDomain),
            models = listOf(ModelGroup(assist, assistEngines, LARGE_MODEL), ModelGroup(permit, permitEngines, SMALL_MODEL)),
            tools =
                listOf(
                    ToolGroup(ToolId("fee-charge"), 2, repeatable = false, settings = ToolSettings(400, 0.5), costMicros = 200),
                    ToolGroup(ToolId("quota-grant"), 2, repeatable = false, settings = ToolSettings(250, 0.4)),
                    ToolGroup(ToolId("tide-table"), 2, repeatable = true, settings = ToolSettings(120, 0.3)),
                ),
            assistants =
                listOf(
                    AssistantGroup("permit-renewal", permit, ServiceClass.URGENT, listOf("harbour-helper")),
                    AssistantGroup("harbour-helper", assist),
                    AssistantGroup("fleet-report", assist, ServiceClass.BATCH),
                ),
            accountTokens = mapOf("barakah-desk" to "barakah-desk-token", "barakah-night" to "barakah-night-token"),
        )
    }

    private fun valdiviesoGroup(
        tallerEngines: Int,
        oficinaEngines: Int,
    ): OwnerGroup {
        val taller = ModelId("taller-llm")
        val oficina = ModelId("oficina-app")
        return OwnerGroup(
            owner = OwnerId("valdivieso"),
            region = RegionId("cl-centro"),
            failureDomains = listOf("stgo-a", "stgo-b", "stgo-c").map(::FailureDomain),
            models = listOf(ModelGroup(taller, tallerEngines, LARGE_MODEL), ModelGroup(oficina, oficinaEngines, SMALL_MODEL)),
            tools =
                listOf(
                    ToolGroup(ToolId("hold-order"), 2, repeatable = false, settings = ToolSettings(300, 0.5)),
                    ToolGroup(ToolId("invoice"), 2, repeatable = false, settings = ToolSettings(500, 0.5), costMicros = 300),
                    // A wall scan runs on a machine and takes several seconds, occasionally half a minute.
                    ToolGroup(ToolId("wall-scan"), 2, repeatable = true, settings = ToolSettings(8_000, 0.7)),
                ),
            assistants =
                listOf(
                    AssistantGroup("panel-rework", taller, ServiceClass.NORMAL, listOf("parts-helper")),
                    AssistantGroup("parts-helper", oficina),
                    AssistantGroup("stock-report", oficina, ServiceClass.BATCH),
                ),
            accountTokens = mapOf("valdivieso-taller" to "valdivieso-taller-token", "valdivieso-oficina" to "valdivieso-oficina-token"),
        )
    }

    /** Template: server and models are set for each engine. */
    private val LARGE_MODEL = EngineSettings(ServerId("unnamed"), listOf(ModelId("unnamed")))

    /** Half the size of the large model, so about twice as fast and with more memory left for prompts. */
    private val SMALL_MODEL =
        LARGE_MODEL.copy(
            prefillTokensPerSecond = 16_000.0,
            decodeTokensPerSecond = 80.0,
            cacheCapacityTokens = 600_000,
            modelLoadMillis = 15_000,
        )
}
