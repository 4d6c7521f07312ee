package lavendertrail.standins

import lavendertrail.ports.ModelEngine

/** Runs the contract against the stand-in in process. */
class EngineStandinTest : ModelEngineContract() {
    override fun withEngine(
        settings: EngineSettings,
        action: (EngineStandin, ModelEngine) -> Unit,
    ): Unit = EngineStandin(settings).use { action(it, it) }
}
