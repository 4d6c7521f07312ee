package lavendertrail.gateway

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against permissions that are used after the host was suspended, which the monotonic clock may not show. */
class ClockCheckTest {
    @Test
    fun `a pause that only the time of day shows is detected once`() {
        var monotonic = 1_000L
        var epoch = 50_000L
        val check = ClockCheck({ monotonic }, { epoch })
        monotonic += 5_000
        epoch += 5_010
        assertFalse(check.hasPaused())
        epoch += 3_000
        assertTrue(check.hasPaused())
        assertFalse(check.hasPaused())
    }
}
