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
import lavendertrail.model.ModelId
import lavendertrail.model.ToolId
import lavendertrail.ports.ToolRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StandinPlatformTest {
    /** Guards against a platform whose addresses or records don't fit its servers. */
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
}
