package lavendertrail.standins

import lavendertrail.membership.NodeRecord
import lavendertrail.model.FailureDomain
import lavendertrail.model.ModelId
import lavendertrail.model.NodeId
import lavendertrail.model.RegionId
import lavendertrail.reducer.ConfigRecordsReceived
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.StoredRecord
import lavendertrail.reducer.TimedEvent
import lavendertrail.reducer.reduce
import kotlin.test.Test
import kotlin.test.assertEquals

class PlatformRecordsTest {
    private data class Case(
        val settings: PlatformSettings,
        val engines: Map<String, Int>,
        val domains: Set<String>,
    )

    /** Guards against records that a node rejects, and against presets that differ from the sizes in docs/design.md. */
    @Test
    fun `a node accepts all records of each preset`() {
        val batinah = setOf("sohar", "shinas", "liwa")
        val centro = setOf("stgo-a", "stgo-b", "stgo-c")
        listOf(
            Case(PlatformPresets.barakah(), mapOf("assist-model" to 8, "permit-desk" to 5), batinah),
            Case(PlatformPresets.valdivieso(), mapOf("taller-llm" to 8, "oficina-app" to 6), centro),
            Case(
                PlatformPresets.small(),
                mapOf("assist-model" to 2, "permit-desk" to 2, "taller-llm" to 2, "oficina-app" to 2),
                setOf("sohar", "shinas", "stgo-a", "stgo-b"),
            ),
        ).forEach { case ->
            standinPlatform(case.settings).use { platform ->
                val config = reduce(emptyNode(), TimedEvent(1_000, 1, platform.received())).state.config
                assertEquals(emptyMap(), config.rejected.toMap())
                assertEquals(
                    case.engines,
                    case.engines.mapValues { (model, _) ->
                        config.servers.values.count { ModelId(model) in it.models }
                    },
                )
                assertEquals(
                    case.domains,
                    config.servers.values
                        .map { it.failureDomain.value }
                        .toSet(),
                )
                assertEquals(
                    config.servers.keys,
                    config.tools.values
                        .flatMap { it.servers }
                        .toSet() + platform.engines.map { it.server },
                )
                assertEquals(
                    emptySet(),
                    config.assistants.values
                        .map { it.model }
                        .toSet() - config.models.keys,
                )
            }
        }
    }

    private fun StandinPlatform.received(): ConfigRecordsReceived =
        ConfigRecordsReceived(
            records = records.mapIndexed { index, record -> StoredRecord(record.kind, record.name, record.json, index + 2L) },
            headRevision = records.size + 2L,
            source = "service",
            complete = true,
        )

    private fun emptyNode(): NodeState =
        NodeState(
            NodeRecord(
                node = NodeId("sohar-1"),
                region = RegionId("batinah"),
                failureDomain = FailureDomain("sohar"),
                peerAddress = "127.0.0.1:1",
                apiAddress = "127.0.0.1:2",
                incarnation = 1,
                journal = false,
            ),
        )
}
