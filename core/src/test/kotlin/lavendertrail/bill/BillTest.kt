package lavendertrail.bill

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.history.computedHash
import lavendertrail.history.nextRecord
import lavendertrail.model.AccountId
import lavendertrail.model.Budget
import lavendertrail.model.OwnerId
import lavendertrail.model.ProgramId
import lavendertrail.model.ProgramSpec
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServiceClass
import lavendertrail.model.Usage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class BillTest {
    private fun chain(
        program: String,
        owner: String,
        vararg payloads: HistoryPayload,
    ): List<HistoryRecord> {
        val spec = ProgramSpec(OwnerId(owner), AccountId("$owner-account"), "desk", ServiceClass.NORMAL, Budget(1, 1, 1, 1))
        return (listOf(HistoryPayload.Opened(spec)) + payloads).fold(emptyList()) { records, payload ->
            records + nextRecord(records.lastOrNull(), ProgramId(program), 1, 10, payload, "secret")
        }
    }

    private fun finished(
        position: Int,
        tokens: Long,
        outcome: RunOutcome = RunOutcome.RUN,
    ) = HistoryPayload.CallFinished(
        position = position,
        outcome = outcome,
        usage = Usage(promptTokens = tokens, costMicros = tokens * 2),
        refusal = if (outcome == RunOutcome.RUN) null else RefusalReason.UNRESOLVED,
    )

    private val first = chain("batinah-001-a", "barakah", finished(0, 10), finished(1, 20), finished(2, 30))
    private val second =
        chain(
            "cl-centro-002-b",
            "valdivieso",
            finished(0, 0, RunOutcome.NOT_RUN),
            finished(0, 90, RunOutcome.MAY_HAVE_RUN),
            HistoryPayload.Settled(0, RunOutcome.RUN, Usage(promptTokens = 40, costMicros = 4), "ops"),
        )

    /** Guards against usage that is counted twice, or by its reservation although it was settled. */
    @Test
    fun `usage is summed up per program, account and owner`() {
        val bill = billOf((second + first).map(HistoryRecord::withoutContent))
        assertEquals(emptyList(), bill.faults)
        assertEquals(listOf(60L, 40L), bill.lines.map { it.usage.promptTokens })
        assertEquals(mapOf(OwnerId("barakah") to 120L, OwnerId("valdivieso") to 4L), bill.byOwner.mapValues { it.value.costMicros })
        assertEquals(100, bill.total.totalTokens)
        assertNull(first.first().withoutContent().content)
    }

    private class Case(
        val name: String,
        val kind: BillFault.Kind,
        val sequence: Int,
        val forge: (List<HistoryRecord>) -> List<HistoryRecord>,
    )

    private fun List<HistoryRecord>.replace(
        sequence: Int,
        change: (HistoryRecord) -> HistoryRecord,
    ) = map { if (it.sequence == sequence) change(it) else it }

    /** Guards against a forged export that passes verification, and against a fault that names the wrong record. */
    @Test
    fun `each fault names its record`() {
        val cheaper = finished(1, 2)
        val cases =
            listOf(
                Case("changed usage", BillFault.Kind.CHANGED, 2) { it.replace(2) { r -> r.copy(payload = cheaper) } },
                Case("changed text", BillFault.Kind.CHANGED, 1) { it.replace(1) { r -> r.copy(content = "other") } },
                Case("missing", BillFault.Kind.MISSING, 2) { it.filter { r -> r.sequence != 2 } },
                Case("missing opening", BillFault.Kind.MISSING, 0) { it.drop(1) },
                Case("duplicate", BillFault.Kind.DOUBLED, 3) { it + it.last() },
                Case("hash recomputed after a change", BillFault.Kind.UNLINKED, 3) {
                    it.replace(2) { r -> r.copy(payload = cheaper).let { c -> c.copy(hash = c.computedHash()) } }
                },
            )
        for (case in cases) {
            val faults = billOf(case.forge(first)).faults
            assertEquals(listOf(case.kind to case.sequence), faults.map { it.kind to it.sequence }, case.name)
        }
        assertEquals(60, billOf(first + first.last()).total.totalTokens)
    }
}
