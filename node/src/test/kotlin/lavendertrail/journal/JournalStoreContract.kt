package lavendertrail.journal

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Tests that every [JournalStore] must pass. */
internal abstract class JournalStoreContract {
    protected abstract fun newStore(): JournalStore

    private class Case(
        val name: String,
        val expected: JournalAnswer?,
        val length: Long,
        val request: (JournalStore) -> JournalAnswer,
    )

    /** Guards against accepting requests that lose, repeat or reorder acknowledged entries. */
    @TestFactory
    fun `a complete copy of 5 entries sealed at epoch 1`(): List<DynamicTest> =
        listOf(
            Case("the next entries", accepted(7), 7) { it.append(appendRequest(5..6L)) },
            Case("repeated entries", accepted(5), 5) { it.append(appendRequest(3..4L)) },
            Case("repeated and next entries", accepted(7), 7) { it.append(appendRequest(3..6L)) },
            Case("entries that leave a gap", JournalAnswer.Gap(5), 5) { it.append(appendRequest(6..6L)) },
            Case("another entry at a taken index", JournalAnswer.Gap(4), 5) {
                it.append(JournalAppend(partition, 1, listOf(entry(4, 1, "other"))))
            },
            Case("entries out of order", null, 5) { it.append(JournalAppend(partition, 1, listOf(entry(5), entry(7)))) },
            Case("an epoch above the seal without a seal", null, 5) { it.append(appendRequest(5..5L, epoch = 2)) },
            Case("a seal", accepted(5), 5) { it.seal(JournalSeal(partition, 3)) },
            Case("an append below a later seal", JournalAnswer.Fenced(3), 5) {
                it.seal(JournalSeal(partition, 3))
                it.append(appendRequest(5..5L, epoch = 2))
            },
            Case("a truncation below a later seal", JournalAnswer.Fenced(3), 5) {
                it.seal(JournalSeal(partition, 3))
                it.append(appendRequest(1..1L, epoch = 2, truncateTo = 1))
            },
            Case("a seal below a later seal", JournalAnswer.Fenced(3), 5) {
                it.seal(JournalSeal(partition, 3))
                it.seal(JournalSeal(partition, 2))
            },
            Case("a truncation of an earlier attempt of the epoch", null, 5) {
                it.seal(JournalSeal(partition, 1, attempt = 2))
                it.append(appendRequest(1..1L, truncateTo = 1, attempt = 1))
            },
            Case("an append of an earlier attempt of the epoch", null, 5) {
                it.seal(JournalSeal(partition, 1, attempt = 2))
                it.append(appendRequest(5..5L, attempt = 1))
            },
            Case("a truncation by a later epoch", accepted(3, complete = false), 3) {
                it.append(JournalAppend(partition, 2, emptyList(), truncateTo = 3))
            },
            Case("a truncation past the end", JournalAnswer.Gap(5), 5) { it.append(appendRequest(7..8L, epoch = 2, truncateTo = 7)) },
            Case("a truncation and entries of a later epoch", accepted(4, lastEpoch = 2, complete = false), 4) {
                it.append(appendRequest(3..3L, epoch = 2, truncateTo = 3))
            },
            Case("a confirmed refill", accepted(4, lastEpoch = 2), 4) {
                it.append(appendRequest(3..3L, epoch = 2, truncateTo = 3))
                it.seal(JournalSeal(partition, 2, completeAt = 4))
            },
            Case("a confirmation of another length", accepted(4, lastEpoch = 2, complete = false), 4) {
                it.append(appendRequest(3..3L, epoch = 2, truncateTo = 3))
                it.seal(JournalSeal(partition, 2, completeAt = 5))
            },
            Case("an append that continues an incomplete copy", accepted(5, lastEpoch = 2), 5) {
                it.append(appendRequest(3..3L, epoch = 2, truncateTo = 3))
                it.append(appendRequest(4..4L, epoch = 2))
            },
        ).map { case ->
            dynamicTest(case.name) {
                newStore().use { store ->
                    store.fill(5)
                    val answer = case.request(store)
                    if (case.expected == null) assertIs<JournalAnswer.Failed>(answer) else assertEquals(case.expected, answer)
                    assertEquals((0..<case.length).toList(), store.readAll().map { it.index })
                }
            }
        }

    /** Guards against a replaced host that is mistaken for an empty journal. */
    @Test
    fun `a partition without a copy is unknown`(): Unit =
        newStore().use { store ->
            assertEquals(JournalAnswer.Unknown, store.append(appendRequest(0..0L)))
            assertEquals(JournalAnswer.Unknown, store.append(appendRequest(0..0L, truncateTo = 0)))
            assertEquals(JournalAnswer.Unknown, store.seal(JournalSeal(partition, 1)))
            assertEquals(UNKNOWN_COPY, store.read(JournalRead(partition, 0, 100)).error)
        }

    /** Guards against a delayed request that creates a copy on a replaced host, which has lost its seals. */
    @Test
    fun `a copy is created only in the requested store`(): Unit =
        newStore().use { store ->
            assertIs<JournalAnswer.Failed>(store.append(appendRequest(0..0L, create = true).copy(storeId = "another")))
            assertEquals(JournalAnswer.Unknown, store.seal(JournalSeal(partition, 1)))
            val known = store.read(JournalRead(partition, 0, 100)).storeId
            assertEquals(accepted(1, complete = false), store.append(appendRequest(0..0L, create = true).copy(storeId = known)))
        }

    /** Guards against paging that skips entries or never ends, also with entries larger than a page. */
    @Test
    fun `pages of any size return all entries`(): Unit =
        newStore().use { store ->
            store.fill(200)
            for (maxBytes in listOf(1, 700, 100_000)) assertEquals(entries(0..<200L), store.readAll(maxBytes = maxBytes))
            assertEquals(entries(137..<200L), store.readAll(fromIndex = 137))
        }

    /** Guards against a copy that can't be refilled by an owner whose journal starts at a later index. */
    @Test
    fun `a copy restarts at a later index`(): Unit =
        newStore().use { store ->
            store.fill(5)
            assertEquals(accepted(10, 2, complete = false), store.append(appendRequest(8..9L, epoch = 2, truncateTo = 8, create = true)))
            assertEquals(8, store.read(JournalRead(partition, 8, 1)).firstIndex)
            assertEquals(accepted(3, 3, complete = false), store.append(appendRequest(2..2L, epoch = 3, truncateTo = 2, create = true)))
            assertEquals(listOf(2L), store.readAll(fromIndex = 2).map { it.index })
        }
}

internal class MemoryJournalStoreTest : JournalStoreContract() {
    override fun newStore() = memoryJournalStore()
}
