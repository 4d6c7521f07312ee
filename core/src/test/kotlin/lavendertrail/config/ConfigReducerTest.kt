package lavendertrail.config

import lavendertrail.membership.NodeRecord
import lavendertrail.membership.ProbeMessage
import lavendertrail.model.FailureDomain
import lavendertrail.model.NodeId
import lavendertrail.model.OwnerId
import lavendertrail.model.RegionId
import lavendertrail.reducer.ConfigRecordsReceived
import lavendertrail.reducer.FetchConfig
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.ProbeReceived
import lavendertrail.reducer.StoredRecord
import lavendertrail.reducer.TimedEvent
import lavendertrail.reducer.reduce
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ConfigReducerTest {
    private val barakah = OwnerId("barakah")
    private val empty =
        NodeState(NodeRecord(NodeId("n1"), RegionId("batinah"), FailureDomain("sohar"), "127.0.0.1:1", "127.0.0.1:2", 1, journal = false))

    private fun owner(
        weight: Int,
        revision: Long,
        version: Int = 1,
    ) = StoredRecord(
        "owner",
        "barakah",
        """{"schemaVersion":$version,"owner":"barakah","region":"batinah","weight":$weight}""",
        revision,
    )

    private fun NodeState.receive(
        vararg records: StoredRecord,
        headRevision: Long = records.maxOfOrNull { it.revision } ?: 0,
        complete: Boolean = false,
    ): NodeState = reduce(this, TimedEvent(1_000, 7, ConfigRecordsReceived(records.toList(), headRevision, "test", complete))).state

    private val NodeState.weight: Int? get() = config.owners[barakah]?.weight

    /** Guards against a delayed watch event or a stale peer that restores an old record. */
    @Test
    fun `a record of a lower revision never replaces a higher one`() {
        val state = empty.receive(owner(weight = 2, revision = 8)).receive(owner(weight = 1, revision = 5))

        assertEquals(2, state.weight)
        assertEquals(8, state.config.headRevision)
    }

    /** Guards against a deleted record that a stale peer restores. */
    @Test
    fun `a deletion outlives an older copy of the record`() {
        val deletion = owner(1, 9).copy(json = "{}", deleted = true)

        assertNull(
            empty
                .receive(owner(1, 5))
                .receive(deletion)
                .receive(owner(1, 5))
                .weight,
        )
    }

    /** Guards against a deletion that is missed because the watch was down when it happened. */
    @Test
    fun `a complete listing deletes the records that it no longer contains`() {
        assertNull(empty.receive(owner(1, 5)).receive(headRevision = 9, complete = true).weight)
    }

    /** Guards against a service restored from an old backup that would delete records in force. */
    @Test
    fun `a complete listing older than the records in force deletes nothing`() {
        assertEquals(1, empty.receive(owner(1, 5)).receive(headRevision = 4, complete = true).weight)
    }

    /** Guards against a record of a newer schema version that is decoded as an older one or dropped. */
    @Test
    fun `a record of an unknown version is kept unchanged and the last readable record stays in force`() {
        val state = empty.receive(owner(1, 5)).receive(owner(3, 6, version = 99))

        assertEquals(1, state.weight)
        assertEquals(owner(3, 6, version = 99), state.config.stored["owner/barakah"])
        assertEquals("schemaVersion '99' of kind 'owner' is not known here; allowed: 1", state.config.rejected["owner/barakah"])
    }

    /** Guards against a node whose watch delivers no more events and which would keep a stale configuration permanently. */
    @Test
    fun `a peer with a higher revision is asked for its records once per interval`() {
        val probe = ProbeReceived(ProbeMessage(NodeId("n2"), 1, leaving = false, configRevision = 12, suspects = emptyList()))
        val first = reduce(empty, TimedEvent(1_000, 7, probe))
        val second = reduce(first.state, TimedEvent(1_100, 7, probe))

        assertEquals(listOf(FetchConfig(NodeId("n2"), 0)), first.effects.filterIsInstance<FetchConfig>())
        assertEquals(emptyList(), second.effects.filterIsInstance<FetchConfig>())
    }

    /** Guards against owners that must move to a new schema version at the same time. */
    @Test
    fun `versions 1 and 2 of a tool record are supported at the same time`() {
        val first =
            StoredRecord("tool", "fee", """{"schemaVersion":1,"tool":"fee","servers":["s1"],"repeatable":false,"hasStatusCall":true}""", 5)
        val second = StoredRecord("tool", "hold", """{"schemaVersion":2,"tool":"hold","servers":["s1"],"repeat":"neverButStatus"}""", 6)
        val tools =
            empty
                .receive(first, second)
                .config.tools.values

        assertEquals(listOf(false to true, false to true), tools.map { it.repeatable to it.hasStatusCall })
    }

    /** Guards against an assistant that is lost because its budget record arrives later, and against limits that are not updated. */
    @Test
    fun `an assistant gets the limits of the budget record that it names`() {
        val assistant =
            StoredRecord(
                "assistant",
                "desk",
                """{"schemaVersion":2,"name":"desk","owner":"barakah","model":"m","serviceClass":"urgent","budgetName":"small"}""",
                5,
            )

        fun budget(
            tokens: Long,
            revision: Long,
        ) = StoredRecord(
            "budget",
            "small",
            """{"schemaVersion":1,"name":"small","maxTokens":$tokens,"maxCostMicros":1,"maxTurns":1,"maxWallMillis":1}""",
            revision,
        )
        val early = empty.receive(assistant)
        val later = early.receive(budget(100, 6))

        assertEquals("budgetName 'small' names no budget record", early.config.rejected["assistant/desk"])
        assertEquals(
            100,
            later.config.assistants["desk"]
                ?.budget
                ?.maxTokens,
        )
        assertEquals(
            200,
            later
                .receive(budget(200, 7))
                .config.assistants["desk"]
                ?.budget
                ?.maxTokens,
        )
    }
}
