package lavendertrail.gateway

import lavendertrail.serving.ServingConfig
import lavendertrail.turns.MeteredTurnHosts
import lavendertrail.turns.TurnHosts
import lavendertrail.turns.TurnMethods
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Counts what the turn hosts are asked for one stream of six events, by the fields of its route. Guards against calls and bytes for
 * resumed turns on routes whose turns aren't kept or whose streams can't be resumed, and for streams that don't break.
 */
class ResumedTurnCostTest {
    private val keepUnfinished = TurnMethods.keepUnfinished.bareMethodName.orEmpty()
    private val findStreamTurns = TurnMethods.findStreamTurns.bareMethodName.orEmpty()
    private val keep = TurnMethods.keep.bareMethodName.orEmpty()

    /** Plays streams by [play] and returns the calls and the bytes of each method. */
    private fun measure(
        isStateful: Boolean,
        isResumable: Boolean,
        play: (ResumeFixture, ResumeFixture.EntryHost) -> Unit,
    ): Map<String, MeteredTurnHosts.Cost> {
        val config: ServingConfig =
            ResumeFixture.statefulConfig().let { config ->
                val routes =
                    config.routes.map {
                        it.copy(isResumable = isResumable, turnRetentionMillis = if (isStateful) 60_000 else null)
                    }
                config.copy(routes = routes)
            }
        return MeteredTurnHosts(HOSTS).use { hosts ->
            ResumeFixture(config, turnHostNames = emptyList()).use { fixture ->
                val entryHost = fixture.entryHost(TurnHosts(hosts.hosts, tolerance = 1))
                play(fixture, entryHost)
                Thread.sleep(LATE_CALLS_MILLIS)
                hosts.costs()
            }
        }
    }

    private fun playUnbroken(
        fixture: ResumeFixture,
        host: ResumeFixture.EntryHost,
    ) {
        repeat(STREAMS) { assertTrue(host.call(Turn("a$it", "p$it")).isWhole) }
        assertEquals(STREAMS, fixture.bodies.size)
    }

    private fun playResumed(
        fixture: ResumeFixture,
        host: ResumeFixture.EntryHost,
    ) = repeat(STREAMS) {
        fixture.breakAfter["a$it"] = 3
        host.call(Turn("a$it", "p$it"))
        assertTrue(host.call(Turn("b$it", "p$it", resumes = "a$it", after = 3)).isWhole)
    }

    private fun report(
        name: String,
        costs: Map<String, MeteredTurnHosts.Cost>,
    ) {
        val perStream =
            costs.toSortedMap().map { (method, cost) ->
                "$method ${cost.calls / STREAMS.toDouble()}, ${cost.bytes / STREAMS} B"
            }
        println("calls and bytes of a stream, $name: ${perStream.joinToString("; ")}")
    }

    @Test
    fun `only routes with both fields pay, and only for streams that break`() {
        val resumable = measure(isStateful = false, isResumable = true, ::playResumed)
        report("resumable only, resumed", resumable)
        val stateful = measure(isStateful = true, isResumable = false, ::playUnbroken)
        report("stateful only, unbroken", stateful)
        val both = measure(isStateful = true, isResumable = true, ::playUnbroken)
        report("both, unbroken", both)
        val resumed = measure(isStateful = true, isResumable = true, ::playResumed)
        report("both, resumed", resumed)
        for (costs in listOf(resumable, stateful, both)) {
            assertEquals(
                emptySet(),
                costs.keys intersect setOf(keepUnfinished, findStreamTurns),
            )
        }
        assertEquals(STREAMS * COPIES, stateful.getValue(keep).calls)
        // A look-up asks as many of the hosts as prove that no other part is known. The part is stored when the stream breaks, and again
        // with the first event of the attempt that resumes it. A slow host is replaced by another one.
        assertTrue(resumed.getValue(findStreamTurns).calls in STREAMS * (HOSTS - 1)..STREAMS * HOSTS, "$resumed")
        assertTrue(resumed.getValue(keepUnfinished).calls in STREAMS * 2 * COPIES..STREAMS * 2 * HOSTS, "$resumed")
    }

    private companion object {
        const val HOSTS = 3
        const val COPIES = 2
        const val STREAMS = 10

        /** Settlements and origins are stored beside the stream. */
        const val LATE_CALLS_MILLIS = 600L
    }
}
