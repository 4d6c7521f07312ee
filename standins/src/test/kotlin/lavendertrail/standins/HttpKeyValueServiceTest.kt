package lavendertrail.standins

import lavendertrail.adapters.httpKeyValueService
import lavendertrail.ports.KeyValueService
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** The contract for the adapter, against the stand-in over HTTP. */
class HttpKeyValueServiceTest : KeyValueServiceContract() {
    private val server by lazy { serveKeyValue(standin) }

    override fun open(): KeyValueService = httpKeyValueService(server.address)

    @AfterTest
    fun stop() = server.close()

    /** Guards against watches that stay registered after their connection is gone and count as pending calls for ever. */
    @Test
    fun `a closed watch is removed at the service`() {
        val watch = service.watch("a", 1, 5_000, {}, {})
        awaitWatches(1)
        watch.close()
        awaitWatches(0)
        assertEquals(0, standin.counts.watchesWaiting)
    }

    private fun awaitWatches(count: Int) {
        val start = System.currentTimeMillis()
        while (standin.counts.watchesWaiting != count && System.currentTimeMillis() - start < 5_000) Thread.sleep(5)
    }
}
