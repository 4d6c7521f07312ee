package lavendertrail.standins

import lavendertrail.ports.ModelEngine

/** The contract in process. */
class EngineStandinTest : ModelEngineContract() {
    override fun withEngine(
        settings: EngineSettings,
        action: (EngineStandin, ModelEngine) -> Unit,
    ): Unit = EngineStandin(settings).use { action(it, it) }
}
