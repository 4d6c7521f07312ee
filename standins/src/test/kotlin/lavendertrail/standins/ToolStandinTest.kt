package lavendertrail.standins

import lavendertrail.ports.ToolService

/** Runs the contract against the stand-in in process. */
class ToolStandinTest : ToolServiceContract() {
    override fun withService(
        settings: ToolSettings,
        action: (ToolStandin, ToolService) -> Unit,
    ): Unit = ToolStandin(settings).use { action(it, it) }
}
