package lavendertrail.dev

import lavendertrail.history.sha256Hex
import lavendertrail.model.Message
import lavendertrail.standins.PlatformPresets
import org.http4k.core.Method
import org.http4k.core.Request
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DevClusterTest {
    private fun ask(number: Int) = listOf(Message("user", "turn $number"))

    @Test
    fun `the main job passes all its checks`() {
        DevCluster(DevOptions(platform = PlatformPresets.small(timeScale = 20.0))).use { cluster ->
            cluster.start()
            val lines = mutableListOf<String>()
            assertTrue(MainJob(cluster) { synchronized(lines) { lines += it } }.run(), lines.joinToString("\n"))
        }
    }

    /** Guards against calls that are cut off while their owner node drains; later calls must be served by the next owner. */
    @Test
    fun `a node that drains cuts off no call`() {
        DevCluster(DevOptions(platform = PlatformPresets.small(timeScale = 10.0))).use { cluster ->
            cluster.start()
            val caller = ApiCaller({ listOf(cluster.node(0)!!.apiAddress) }, "barakah-desk-token")
            val programs = (1..9).map { caller.open("barakah-desk", "permit-renewal", "stop-$it") }
            val calls =
                programs.map { program ->
                    CompletableFuture.supplyAsync { (0..5).map { caller.chat(program, it, "permit-desk", ask(it)) } }
                }
            Thread.sleep(200)
            val drained = cluster.stop(1)
            calls.flatMap { it.get() }.forEach { assertEquals(it.textSha256, sha256Hex(it.text)) }
            assertTrue(drained, "the drain reached its limit")
        }
    }

    /** Guards against incomplete histories or answers after an owner node crashes; callers at other nodes may only see a delay. */
    @Test
    fun `programs continue after a node is killed`() {
        DevCluster(DevOptions(platform = PlatformPresets.small(timeScale = 10.0))).use { cluster ->
            cluster.start()
            val caller = ApiCaller({ listOf(cluster.node(0)!!.apiAddress) }, "barakah-desk-token")
            val programs = (1..9).map { caller.open("barakah-desk", "permit-renewal", "kill-$it") }
            programs.forEach { caller.chat(it, 0, "permit-desk", ask(0)) }
            val calls = programs.map { program -> CompletableFuture.supplyAsync { caller.chat(program, 1, "permit-desk", ask(1)) } }
            cluster.kill(1)
            val begin = System.nanoTime()
            calls.map { it.get() }.forEach { assertEquals(it.textSha256, sha256Hex(it.text)) }
            println("all calls answered ${(System.nanoTime() - begin) / 1_000_000} ms after the kill")
            programs.forEach { caller.chat(it, 2, "permit-desk", ask(2)) }
        }
    }

    @Test
    fun `a node without configuration is not ready`() {
        DevCluster(DevOptions(nodes = 1) { it.copy(platform = it.platform.copy(keyValueAddress = "127.0.0.1:9")) }).use { cluster ->
            cluster.restart(0)
            val status =
                lavendertrail.http.httpClient()(
                    Request(Method.GET, "http://${cluster.addresses.single()}/readyz"),
                ).use { it.status.code }
            assertEquals(503, status)
        }
    }
}
