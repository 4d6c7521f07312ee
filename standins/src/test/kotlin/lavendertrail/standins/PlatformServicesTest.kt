package lavendertrail.standins

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import lavendertrail.adapters.httpHostList
import lavendertrail.adapters.httpWeightStore
import lavendertrail.model.ModelId
import lavendertrail.ports.HostList
import lavendertrail.ports.HostListing
import lavendertrail.ports.WeightStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Tests the contracts of [HostList] and [WeightStore], in process and over HTTP. */
class PlatformServicesTest {
    /** Guards against a host list without lag, which would hide faults of nodes that rely on it alone. */
    @Test
    fun `a change is visible in the host list after the lag`() {
        var now = 0L
        val standin = HostListStandin(HostListing(setOf("a", "b"), emptySet()), lagMillis = 1_000) { now }
        serveHostList(standin).use { server ->
            listOf<HostList>(standin, httpHostList(server.address)).forEach { list ->
                now = 0
                assertEquals(HostListing(setOf("a", "b"), emptySet()), list.read().get())
            }
            standin.leave("b")
            now = 999
            assertEquals(HostListing(setOf("a", "b"), emptySet()), httpHostList(server.address).read().get())
            now = 1_000
            listOf<HostList>(standin, httpHostList(server.address)).forEach { list ->
                assertEquals(HostListing(setOf("a"), setOf("b")), list.read().get())
            }
            standin.isDown = true
            listOf<HostList>(standin, httpHostList(server.address)).forEach { assertNotNull(it.read().getError()) }
        }
    }

    /** Guards against loading weights on many engines concurrently, faster than the store allows. */
    @Test
    fun `downloads wait for a free slot`() {
        val standin = WeightStoreStandin(slots = 2, bytesPerSecond = 1_000) { 0 }
        serveWeightStore(standin).use { server ->
            val stores = listOf<WeightStore>(standin, httpWeightStore(server.address))
            val waits = (0..5).map { stores[it % 2].reserveDownload(ModelId("m"), 3_000).get() }
            assertEquals(listOf<Long?>(0, 0, 3_000, 3_000, 6_000, 6_000), waits)
            standin.isDown = true
            stores.forEach { assertNotNull(it.reserveDownload(ModelId("m"), 1).getError()) }
        }
    }
}
