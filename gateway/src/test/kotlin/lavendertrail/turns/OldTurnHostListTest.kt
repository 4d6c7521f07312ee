package lavendertrail.turns

import com.github.michaelbull.result.get
import io.netty.channel.EventLoopGroup
import lavendertrail.gateway.StoreMirror
import lavendertrail.gateway.singleEventLoop
import lavendertrail.model.FailureDomain
import lavendertrail.serving.HistoryResult
import lavendertrail.serving.ReservationResult
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against answers from an old list of turn hosts: an entry host that the store refused took two old hosts without a turn as
 * proof that it doesn't exist, while both copies were at new hosts (review/4), and reserved tokens at a quorum of the old list.
 */
class OldTurnHostListTest {
    /** An entry host with the list of the three first hosts, which can't read the store. */
    private class RefusedEntryHost(
        fixture: TurnHostsFixture,
    ) : AutoCloseable {
        val group: EventLoopGroup = singleEventLoop()
        val client = TurnClient(group, FailureDomain("b"), cacheBytes = 0) {}

        init {
            val list = fixture.currentHosts()
            group.next().submit { client.updateHosts(list) }.get()
        }

        override fun close() {
            group.next().submit { client.close() }.get()
            group.shutdownGracefully()
        }
    }

    private fun withGrownList(test: (TurnHostsFixture, RefusedEntryHost) -> Unit) {
        TurnHostsFixture().use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            fixture.awaitHosts("a1", "b1", "c1")
            RefusedEntryHost(fixture).use { refused ->
                listOf("a2", "b2", "c2").forEach { fixture.start(it) }
                fixture.awaitHosts("a1", "a2", "b1", "b2", "c1", "c2")
                test(fixture, refused)
            }
        }
    }

    @Test
    fun `an entry host with an old list finds turns at hosts that it doesn't know`() {
        withGrownList { fixture, refused ->
            fixture.stop("a1")
            (1..TURNS).forEach { assertTrue(fixture.save("t$it")) }
            (1..TURNS).forEach { assertEquals(HistoryResult.FOUND, fixture.load("t$it", refused.client, refused.group).first, "t$it") }
        }
    }

    @Test
    fun `an entry host that can't read the current list doesn't report a turn as nonexistent`() {
        withGrownList { fixture, refused ->
            assertEquals(HistoryResult.UNCERTAIN, fixture.load("t99", refused.client, refused.group).first)
            assertEquals(HistoryResult.NO_SUCH_TURN, fixture.load("t99").first)
        }
    }

    @Test
    fun `copies that left with a host count as hosts that may have the turn until they are replaced`() {
        withGrownList { fixture, _ ->
            val directory = TurnHostDirectory(fixture.service, StoreMirror())
            val departed = DepartedHost("x1", fixture.currentHosts().revision, listOf("y1"), System.currentTimeMillis())
            assertEquals(HistoryResult.NO_SUCH_TURN, fixture.load("t99").first)
            assertEquals(true, directory.writeDeparted(listOf(departed), directory.readDeparted().get()?.revision ?: 0).get())
            assertEquals(HistoryResult.NO_SUCH_TURN, fixture.load("t99").first, "all members lack the turn")
            fixture.stop("b2")
            assertEquals(HistoryResult.UNCERTAIN, fixture.load("t99").first, "one member and the departed host may have it")
        }
    }

    @Test
    fun `a removed host is forgotten once its copies are replaced`() {
        withGrownList { fixture, _ ->
            fixture.killAndDiscardDisk("a1")
            fixture.awaitHosts("a2", "b1", "b2", "c1", "c2")
            val directory = TurnHostDirectory(fixture.service, StoreMirror())
            TurnHostsFixture.awaitCondition("no departed host") {
                directory.readDeparted().get()?.let { it.revision > 0 && it.hosts.isEmpty() } ?: false
            }
        }
    }

    @Test
    fun `reservations through old and new lists together don't exceed the budget`() {
        withGrownList { fixture, refused ->
            val overspent =
                (1..PROGRAMS)
                    .map { "p$it" }
                    .associateWith { program ->
                        (1..ROUNDS).sumOf { round ->
                            val viaNew = fixture.reserve("n$round", 10, BUDGET, program = program)
                            val viaOld = fixture.reserve("o$round", 10, BUDGET, refused.client, refused.group, program)
                            10 * listOf(viaNew, viaOld).count { it == ReservationResult.RESERVED }
                        }
                    }.filterValues { it != BUDGET }
            assertEquals(emptyMap(), overspent)
        }
    }

    private companion object {
        const val TURNS = 30
        const val BUDGET = 100
        const val PROGRAMS = 20
        const val ROUNDS = 8
    }
}
