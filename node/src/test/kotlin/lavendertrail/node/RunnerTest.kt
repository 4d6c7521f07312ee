package lavendertrail.node

import lavendertrail.membership.NodeRecord
import lavendertrail.model.FailureDomain
import lavendertrail.model.NodeId
import lavendertrail.model.ProgramId
import lavendertrail.model.RegionId
import lavendertrail.reducer.ConfigRecordsReceived
import lavendertrail.reducer.Effect
import lavendertrail.reducer.HistoryRequested
import lavendertrail.reducer.NodeRecordsRead
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.RefuseRequest
import lavendertrail.reducer.StoredRecord
import java.io.File
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

internal fun nodeRecord(name: String): NodeRecord =
    NodeRecord(NodeId(name), RegionId("dev"), FailureDomain("dev-a"), "127.0.0.1:1", "127.0.0.1:2", incarnation = 1, journal = true)

class RunnerTest {
    private val effects = LinkedBlockingQueue<Effect>()
    private val state = NodeState(nodeRecord("dev-1"))

    private fun runner(recorder: EventRecorder? = null) = Runner(state, recorder = recorder, execute = { all -> all.forEach(effects::add) })

    private fun nextRefusal(): RefuseRequest {
        repeat(100) {
            val effect = effects.poll(5, TimeUnit.SECONDS)
            if (effect is RefuseRequest) return effect
        }
        error("no refusal among the effects")
    }

    @Test
    fun `requests are answered in the order of their events`() {
        runner().use { runner ->
            runner.start()
            (1L..50L).forEach { runner.submit(HistoryRequested(it, ProgramId("dev-001-a"))) }
            assertEquals((1L..50L).toList(), (1..50).map { nextRefusal().requestId })
            assertTrue(runner.stats().decisions >= 50)
        }
    }

    @Test
    fun `an exception in the execution of effects does not end the runner`() {
        var first = true
        val failing =
            Runner(state, execute = { all ->
                all.forEach(effects::add)
                if (first) {
                    first = false
                    error("executor fails once")
                }
            })
        failing.use { runner ->
            runner.start()
            runner.submit(HistoryRequested(1, ProgramId("dev-001-a")))
            runner.submit(HistoryRequested(2, ProgramId("dev-001-a")))
            assertEquals(listOf(1L, 2L), listOf(nextRefusal().requestId, nextRefusal().requestId))
        }
    }

    @Test
    fun `replay of a recorded log gives the same state`() {
        val file = File.createTempFile("lavendertrail", ".events")
        val runner = runner(EventRecorder(file))
        runner.start()
        runner.submit(NodeRecordsRead(listOf(nodeRecord("dev-1"), nodeRecord("dev-2"))))
        val owner = StoredRecord("owner", "barakah", """{"schemaVersion":1,"owner":"barakah","region":"dev"}""", revision = 3)
        runner.submit(ConfigRecordsReceived(listOf(owner), 3, "service"))
        runner.submit(HistoryRequested(1, ProgramId("dev-001-a")))
        nextRefusal()
        runner.close()
        val replayed = replay(file)
        assertNotNull(replayed.recorded)
        assertTrue(replayed.matchesRecording, "state differs after replay")
        assertEquals(3, replayed.state.config.headRevision)
        file.writeText(file.readText().replace("\"barakah\"", "\"other\""))
        assertIs<Replay>(replay(file))
        assertTrue(!replay(file).matchesRecording, "a changed log must not replay to the same state")
        file.delete()
    }
}
