package lavendertrail.standins

import lavendertrail.adapters.httpKeyValueService
import lavendertrail.ports.KeyValueService
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Runs the contract for the HTTP adapter, against the stand-in over HTTP. */
class HttpKeyValueServiceTest : KeyValueServiceContract() {
    private val server by lazy { serveKeyValue(standin) }

    override fun open(): KeyValueService = httpKeyValueService(server.address)

    @AfterTest
    fun stop() = server.close()

    /** Guards against watches that stay registered after their connection is closed and count as pending calls forever. */
    @Test
    fun `closing a watch removes it from the service`() {
        val watch = service.watch("a", 1, 5_000, {}, {})
        awaitOpenWatches(1)
        watch.close()
        awaitOpenWatches(0)
        assertEquals(0, standin.counts.openWatches)
    }

    private fun awaitOpenWatches(count: Int) {
        val start = System.currentTimeMillis()
        while (standin.counts.openWatches != count && System.currentTimeMillis() - start < 5_000) Thread.sleep(5)
    }
}
