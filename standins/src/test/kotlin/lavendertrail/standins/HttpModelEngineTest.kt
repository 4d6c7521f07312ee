package lavendertrail.standins

import lavendertrail.adapters.httpModelEngine
import lavendertrail.ports.ModelEngine

/** Runs the contract for the HTTP adapter, against the stand-in over HTTP. */
class HttpModelEngineTest : ModelEngineContract() {
    override fun withEngine(
        settings: EngineSettings,
        action: (EngineStandin, ModelEngine) -> Unit,
    ) {
        EngineStandin(settings).use { standin ->
            serveEngine(standin).use { server -> action(standin, httpModelEngine(settings.server, server.address)) }
        }
    }
}
