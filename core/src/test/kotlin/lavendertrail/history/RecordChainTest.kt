package lavendertrail.history

import lavendertrail.model.ProgramId
import lavendertrail.model.Usage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class RecordChainTest {
    private val program = ProgramId("batinah-02a-7f3c")
    private val first = nextRecord(null, program, 1, 10, HistoryPayload.Ended("done", Usage()), "text")

    /** Guards against a changed record that passes verification. */
    @Test
    fun `a changed field changes the hash`() {
        assertEquals(first.hash, first.computedHash())
        assertNotEquals(first.hash, first.copy(atMillis = 11).computedHash())
    }

    /** Guards against exports without content that can't be verified. */
    @Test
    fun `the hash can be computed without the content`() {
        assertEquals(first.hash, first.copy(content = null).computedHash())
    }
}
