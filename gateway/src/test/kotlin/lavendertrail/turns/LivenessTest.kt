package lavendertrail.turns

import com.github.michaelbull.result.get
import lavendertrail.gateway.StoreMirror
import lavendertrail.gateway.StructuredLog
import lavendertrail.model.FailureDomain
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueSnapshot
import lavendertrail.serving.TurnHost
import lavendertrail.standins.KeyValueStandin
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Guards against a turn host that was paused and removes another one by what it knew before the pause. */
class LivenessTest {
    private val hosts = listOf("a1", "b1", "c1", "d1").map { TurnHost(it, "127.0.0.1:1", FailureDomain(it.take(1))) }
    private val service = KeyValueStandin()
    private val mirror = StoreMirror()
    private val directory = TurnHostDirectory(service, mirror)
    private var timeMillis = 0L
    private val liveness = Liveness(service, mirror, directory, hosts.first(), tolerance = 1, StructuredLog("a1")) { timeMillis }

    private fun listedNames() =
        directory
            .read()
            .get()
            ?.hosts
            ?.map { it.name }

    private fun liveKey(name: String) = TurnHostDirectory.LIVE_PREFIX + name

    /** The list of all hosts is in the store; the mirror has it together with the live entries of [live]. */
    private fun mirrorWithLiveEntries(live: List<String>) {
        assertEquals(true, directory.write(hosts, 0).get())
        val list = assertNotNull(service.get(TurnHostDirectory.KEY).get())
        val entries = live.map { KeyValue(liveKey(it), "127.0.0.1:1", 1) }
        mirror.listener().onSnapshot(KeyValueSnapshot(entries + list, list.revision))
    }

    private fun maintainOverPause() {
        liveness.renewLeaseAndRemoveDeadHost()
        timeMillis += PAUSE_MILLIS
        liveness.renewLeaseAndRemoveDeadHost()
    }

    @Test
    fun `a host that has registered again during a pause of the remover stays listed`() {
        mirrorWithLiveEntries(listOf("a1", "c1", "d1"))
        service.swap(liveKey("b1"), 0, "127.0.0.1:1", null)
        maintainOverPause()
        assertEquals(listOf("a1", "b1", "c1", "d1"), listedNames())
    }

    @Test
    fun `a host without a live entry is removed`() {
        mirrorWithLiveEntries(listOf("a1", "c1", "d1"))
        maintainOverPause()
        assertEquals(listOf("a1", "c1", "d1"), listedNames())
    }

    private companion object {
        const val PAUSE_MILLIS = 6_000L
    }
}
