package lavendertrail.serving

import lavendertrail.model.FailureDomain
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against copies of a turn in the same failure domain while other domains are available. */
class TurnPlacementTest {
    private val hosts =
        (1..6).map { TurnHost("host-$it", "10.0.0.$it:7000", FailureDomain("domain-${it % 3}")) }

    @Test
    fun `the first hosts are in different failure domains`() {
        for (program in 1..50) {
            val domains = rankTurnHosts("program-$program", hosts).take(3).map { it.failureDomain }
            assertEquals(3, domains.toSet().size, "program-$program")
        }
    }

    @Test
    fun `the order does not depend on the order of the list`() {
        assertEquals(rankTurnHosts("p", hosts), rankTurnHosts("p", hosts.shuffled()))
    }

    @Test
    fun `programs spread over the hosts`() {
        val first = (1..600).groupingBy { rankTurnHosts("program-$it", hosts).first().name }.eachCount()
        assertEquals(6, first.size)
        assertEquals(emptyList(), first.filterValues { it !in 50..150 }.toList())
    }
}
