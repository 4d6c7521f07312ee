package lavendertrail.turns

import lavendertrail.gateway.singleEventLoop
import lavendertrail.model.FailureDomain
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test

/** Guards against an entry host that never gets ready, since a turn host that responds can't tell it what was reported. */
class HostMeetingsTest {
    private val hosts = CountingTurnHosts(3)
    private val group = singleEventLoop()
    private val client = TurnClient(group, FailureDomain("d0"), cacheBytes = 0) {}

    @AfterTest
    fun close() {
        onLoop { client.close() }
        hosts.close()
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    private fun <T> onLoop(task: () -> T): T = group.next().submit(task).get()

    @Test
    fun `hosts that answer with a failure are not waited for`() {
        onLoop { client.updateHosts(TurnHosts(hosts.hosts, 1)) }
        TurnHostsFixture.awaitCondition("known reports", timeoutMillis = 5_000) {
            onLoop {
                client.meetNewConnections(relayAddress = null) {}
                client.areCrashReportsKnown && client.isReachable
            }
        }
    }
}
