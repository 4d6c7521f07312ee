package lavendertrail.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull

class ProgramIdTest {
    /** Guards against a sub-agent that is routed to another owner node than its root. */
    @Test
    fun `a sub-agent keeps region and partition of its root`() {
        val child = programId(RegionId("cl-centro"), PartitionId(0x2a), "7f3c").child(1).child(2)

        assertEquals("cl-centro-02a-7f3c.1.2", child.value)
        assertEquals(RegionId("cl-centro"), child.region)
        assertEquals(PartitionId(0x2a), child.partition)
        assertEquals(ProgramId("cl-centro-02a-7f3c.1"), child.parent)
        assertEquals(ProgramId("cl-centro-02a-7f3c"), child.root)
    }

    /** Guards against ids given by callers that contain no valid partition. */
    @Test
    fun `ids of an invalid format are rejected`() {
        assertNull(ProgramId.parseOrNull("batinah-fff-7f3c"))
        assertNull(ProgramId.parseOrNull("../etc"))
        assertFailsWith<IllegalArgumentException> { ProgramId("x") }
    }
}
