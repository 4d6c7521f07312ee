package lavendertrail.gateway

import lavendertrail.serving.ConfigAccepted
import lavendertrail.standins.freePorts
import lavendertrail.turns.TurnHostsFixture
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against an entry host whose relay server fails to start, which kept all later periodic tasks from running: turn hosts
 * were never probed again and idle connections never closed.
 */
class PeriodicTasksTest {
    @Test
    fun `an entry host starts its relay and goes on closing idle connections`() {
        val relayPort = freePorts(1).single()
        GatewayFixture("127.0.0.1:$relayPort") { _, _ -> signed("done") }.use { fixture ->
            TurnHostsFixture.awaitCondition("relay server") { runCatching { Socket("127.0.0.1", relayPort).close() }.isSuccess }
            val limits = GatewayFixture.config.limits.copy(idleTimeoutMillis = 200)
            fixture.gateway.submit(ConfigAccepted(GatewayFixture.config.copy(version = 2, limits = limits)))
            fixture.connect().use { idle -> assertEquals(-1, idle.getInputStream().read()) }
        }
    }
}
