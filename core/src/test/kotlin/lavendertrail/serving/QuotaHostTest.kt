package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Guards against two turn hosts that grant credit at once, and against credit that is counted twice. */
class QuotaHostTest {
    private val members = listOf("t1", "t2", "t3")

    private fun use(
        spent: Long = 0,
        held: Int = 0,
        needed: Int = 0,
        version: Long = 1,
        rate: Double = 10.0,
    ) = QuotaUse("bakery", rate, 20.0, version, spent, held, needed, aheadRequests = 0)

    private fun granted(
        granter: QuotaGranter,
        sequence: Long,
        nowMillis: Long,
        use: QuotaUse,
    ) = granter.decide("entry", sequence, listOf(use), nowMillis).let { (next, grants) -> next to grants.single().grantedRequests }

    @Test
    fun `a host grants with votes of a majority only, and as long as they last`() {
        val voters = List(2) { QuotaVoter(startedAtMillis = 0) }
        val asked = QuotaHost("t1", voter = voters[0]).decide("entry", 1, listOf(use(needed = 1)), members, 10_000).first
        val (round, isAsking) = asked.startRound(members, 10_000)
        assertEquals(true, isAsking)
        assertNull(round.granter)
        val granting = round.withVote("t2", 10_000, members, 10_010)
        assertNotNull(granting.granter)
        assertNull(granting.decide("entry", 2, listOf(use()), members, 10_721).second.grants)
    }

    @Test
    fun `a vote binds its host, and a host that has started waits before it votes`() {
        val started = QuotaVoter(startedAtMillis = 10_000)
        assertEquals(false, started.vote("t1", 10_800, 800).second)
        val bound = started.vote("t1", 10_801, 800).first
        assertEquals(false, bound.vote("t2", 11_601, 800).second)
        assertEquals(true, bound.vote("t2", 11_602, 800).second)
    }

    @Test
    fun `credit that neither reached its holder nor was spent returns once`() {
        val (first, all) = granted(QuotaGranter(0), 1, 100_000, use(needed = 100))
        assertEquals(33, all)
        // 3 are spent, the others were given up.
        val (second, again) = granted(first, 2, 100_000, use(spent = 3, needed = 100))
        assertEquals(30, again)
        assertEquals(0, granted(second, 2, 100_000, use(spent = 3, needed = 100)).second)
    }

    @Test
    fun `a granter that has just started grants at the rate, from an empty bucket`() {
        val (first, none) = granted(QuotaGranter(100_000), 1, 100_000, use(needed = 10))
        assertEquals(0, none)
        assertEquals(3, granted(first, 2, 100_300, use(needed = 10)).second)
        assertEquals(6, granted(QuotaGranter(100_000), 1, 101_400, use(needed = 100)).second)
    }

    @Test
    fun `an older configuration doesn't bring back a higher limit`() {
        val (lowered, _) = granted(QuotaGranter(0), 1, 100_000, use(needed = 100, version = 2, rate = 1.0))
        val (spent, _) = granted(lowered, 2, 100_000, use(spent = 31, version = 1))
        assertEquals(1, granted(spent, 3, 101_000, use(spent = 31, needed = 100, version = 1)).second)
    }
}
