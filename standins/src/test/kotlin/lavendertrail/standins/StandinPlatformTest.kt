package lavendertrail.standins

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import lavendertrail.adapters.httpHostList
import lavendertrail.adapters.httpKeyValueService
import lavendertrail.adapters.httpModelEngine
import lavendertrail.adapters.httpToolService
import lavendertrail.adapters.httpWeightStore
import lavendertrail.model.FailureDomain
import lavendertrail.model.ModelId
import lavendertrail.model.ServerId
import lavendertrail.model.ToolId
import lavendertrail.ports.ToolRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StandinPlatformTest {
    /** Guards against addresses or records that don't match the servers of the platform. */
    @Test
    fun `every server of the small platform answers at its address`() {
        standinPlatform(PlatformPresets.small(timeScale = 50.0)).use { platform ->
            platform.writeRecords()
            val stored = httpKeyValueService(platform.keyValueAddress).range("lavendertrail/config/").getOrElse { error(it) }
            assertEquals(platform.records.size, stored.entries.size)
            stored.entries.forEach {
                assertEquals(
                    "1",
                    Json
                        .parseToJsonElement(it.value)
                        .jsonObject["schemaVersion"]
                        ?.jsonPrimitive
                        ?.content,
                )
            }
            platform.engines.forEach { engine ->
                val client = httpModelEngine(engine.server, engine.address)
                assertEquals(listOf(engine.model), client.load().getOrElse { error(it) }.loadedModels)
                val text = StringBuilder()
                val done = client.generate(testRequest(engine.model, "hello [answer-tokens=5]")) { text.append(it) }.getOrElse { error(it) }
                assertEquals(5, done.generatedTokens)
                assertEquals(20, text.length)
            }
            platform.tools.filter { it.tool != ToolId("wall-scan") }.forEach { tool ->
                val answer = httpToolService(tool.server, tool.address).call(ToolRequest(tool.tool, "k1", "{}", 5_000))
                assertEquals("${tool.tool} did {}", answer.get())
                assertEquals(1, tool.standin.executions.size)
            }
            assertTrue("taller-llm-2" in httpHostList(platform.hostListAddress).read().getOrElse { error(it) }.live)
            assertEquals(0, httpWeightStore(platform.weightStoreAddress).reserveDownload(ModelId("m"), 1_000_000_000).get())
        }
    }

    /** Guards against a domain failure that affects other domains, and against servers that don't restart on restore. */
    @Test
    fun `a failed domain is down as a whole until it is restored`() {
        val domain = FailureDomain("sohar")
        standinPlatform(PlatformPresets.small(timeScale = 50.0)).use { platform ->
            fun reachable(): Set<ServerId> =
                platform.engines
                    .filter { httpModelEngine(it.server, it.address).load().isOk }
                    .map { it.server }
                    .toSet() +
                    platform.tools.filter { httpToolService(it.server, it.address).status("k").isOk }.map { it.server }

            val all = reachable()
            val lost = setOf("assist-model-1", "permit-desk-1", "fee-charge-1", "quota-grant-1", "tide-table-1").map(::ServerId).toSet()
            platform.failDomain(domain)
            awaitEquals(all - lost) { reachable() }
            Thread.sleep(300)
            assertEquals(all - lost, reachable(), "no server restarts by itself")
            platform.restoreDomain(domain)
            awaitEquals(all) { reachable() }
            platform.leave("assist-model-2")
            val engine = platform.engine("assist-model-2")
            awaitEquals(true) { httpModelEngine(engine.server, engine.address).load().get()?.leaving }
        }
    }

    private fun <T> awaitEquals(
        expected: T,
        read: () -> T,
    ) {
        val start = System.currentTimeMillis()
        while (read() != expected && System.currentTimeMillis() - start < 5_000) Thread.sleep(10)
        assertEquals(expected, read())
    }
}
