package lavendertrail.standins

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import lavendertrail.adapters.httpToolService
import lavendertrail.model.ServerId
import lavendertrail.ports.ToolService
import lavendertrail.reducer.AttemptFailure
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Runs the contract for the HTTP adapter, against the stand-in over HTTP. */
class HttpToolServiceTest : ToolServiceContract() {
    override fun withService(
        settings: ToolSettings,
        action: (ToolStandin, ToolService) -> Unit,
    ) {
        val standin = ToolStandin(settings)
        serveTool(standin).use { server -> action(standin, httpToolService(ServerId("fee-charge-1"), server.address)) }
    }

    /** Guards against confusing a refused connection, where nothing was executed, with a connection lost during the call. */
    @Test
    fun `a service that is down rejects and the call after its restart runs once`() {
        val standin = ToolStandin(ToolSettings(durationMillis = 1))
        serveTool(standin).use { server ->
            val service = httpToolService(ServerId("fee-charge-1"), server.address)
            assertNotNull(service.call(request("k1")).get())
            server.takeDown()
            assertEquals(AttemptFailure.REJECTED, service.call(request("k2")).getError()?.failure)
            server.bringUp()
            assertNotNull(service.call(request("k3")).get())
            assertEquals(listOf("k1", "k3"), standin.executions.map { it.key })
        }
    }
}
