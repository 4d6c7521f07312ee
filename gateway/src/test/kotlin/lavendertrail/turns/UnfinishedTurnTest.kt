package lavendertrail.turns

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against unfinished turns that are forgotten, or told shorter than they are, while turn hosts restart and are replaced. */
class UnfinishedTurnTest {
    private fun withRepository(
        folder: Path = Files.createTempDirectory("turns"),
        clock: LongArray = longArrayOf(1_000_000),
        test: TurnRepository.(clock: LongArray) -> Unit,
    ) = TurnRepository(folder, Runnable::run, { clock[0] }, {}).use { repository ->
        repository.open()
        repository.test(clock)
    }

    /** A turn of [events] events, each of which says [word]. */
    private fun turn(
        id: String,
        events: Int,
        expiresAtEpochMillis: Long,
        word: String = "x",
    ) = TurnRecord(
        id,
        "p",
        null,
        "in".toByteArray(),
        "$word\n".repeat(events).toByteArray(),
        expiresAtEpochMillis,
        "first",
        EventMarks((1..events).map { "$it" }, (1..events).map { it * (word.length + 1) }),
    )

    private fun TurnRepository.outputs(eventId: String): List<String> =
        findStreamTurns(StreamTurnsRequest("first", eventId)).turns.map { String(it.output) }

    @Test
    fun `a turn is told up to the event that is named`() {
        val turn = turn("a", 3, 0, "word")
        assertEquals("word\n", String(turn.upTo("1")!!.output))
        assertEquals(EventMarks(listOf("1", "2"), listOf(5, 10)), turn.upTo("2")!!.eventMarks)
        assertContentEquals(turn.output, turn.upTo("3")!!.output)
        assertNull(turn.upTo("4"))
        val repeated = TurnRecord("a", "p", null, ByteArray(0), ByteArray(4), 0, "first", EventMarks(listOf("1", "1"), listOf(2, 4)))
        assertNull(repeated.upTo("1"))
    }

    @Test
    fun `the longer part of an attempt counts, in whatever order the parts arrive, and is kept for the longer time`() {
        for (order in listOf(listOf(1, 3), listOf(3, 1))) {
            withRepository { clock ->
                for (events in order) storeUnfinishedTurn(turn("a", events, clock[0] + if (events == 1) 100_000 else 30_000)) {}
                clock[0] += 90_000
                removeExpired()
                assertEquals(listOf("x\nx\nx\n"), outputs("3"))
                clock[0] += 50_000
                removeExpired()
                assertEquals(emptyList(), outputs("1"))
            }
        }
    }

    @Test
    fun `attempts that say the same are told once, others apart, finished or not`() =
        withRepository { clock ->
            storeUnfinishedTurn(turn("a", 2, clock[0] + 10_000)) {}
            storeUnfinishedTurn(turn("b", 4, clock[0] + 10_000)) {}
            assertEquals(1, outputs("2").size)
            storeTurn(turn("c", 4, clock[0] + 10_000, "y")) {}
            assertEquals(setOf("x\nx\n", "y\ny\n"), outputs("2").toSet())
        }

    @Test
    fun `unfinished turns and streams of finished ones are known after a restart`() {
        val folder = Files.createTempDirectory("turns")
        withRepository(folder) { clock ->
            val stored = List(2) { CompletableFuture<Boolean>() }
            storeUnfinishedTurn(turn("a", 2, clock[0] + 10_000)) { stored[0].complete(it.isKept) }
            storeTurn(turn("b", 3, clock[0] + 10_000, "y")) { stored[1].complete(it.isKept) }
            assertEquals(listOf(true, true), stored.map { it.get(5, TimeUnit.SECONDS) })
        }
        withRepository(folder) { assertEquals(setOf("x\nx\n", "y\ny\n"), outputs("2").toSet()) }
    }

    @Test
    fun `parts are missed, copied and told until they expire, in whatever order they arrive`() {
        for (seed in 1..20) {
            withRepository { clock ->
                val random = Random(seed)
                val longest = HashMap<String, Int>()
                val expiries = HashMap<String, Long>()
                repeat(200) {
                    clock[0] += random.nextLong(0, 2_000)
                    val part = turn("a${random.nextInt(8)}", random.nextInt(1, 9), clock[0] + random.nextLong(1_000, 200_000))
                    importRecords(listOf(StoredRecord(unfinishedTurn = part))) {}
                    longest.merge(part.id, part.eventCount, ::maxOf)
                    expiries.merge(part.id, part.expiresAtEpochMillis, ::maxOf)
                    removeExpired()
                    expiries.values.removeIf { it < clock[0] - EXPIRY_MARGIN_MILLIS }
                    longest.keys.retainAll(expiries.keys)
                    val current = currentRecords().mapNotNull { it.unfinishedTurn }
                    assertEquals(longest, current.associate { it.id to it.eventCount }, "seed $seed")
                    assertEquals(emptyList(), findMissing(MissingRequest(current.map { StoredRecord(unfinishedTurn = it).key })).indices)
                    val more = turn(part.id, longest.getValue(part.id) + 1, 0)
                    assertEquals(listOf(0), findMissing(MissingRequest(listOf(StoredRecord(unfinishedTurn = more).key))).indices)
                }
            }
        }
    }

    @Test
    fun `an unfinished turn is known while hosts are replaced one after the other`() =
        TurnHostsFixture().use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            fixture.awaitHosts("a1", "b1", "c1")
            val stored = CompletableFuture<Boolean>()
            val turn = turn("a", 3, System.currentTimeMillis() + 60_000)
            fixture.on(fixture.clientGroup) { fixture.client.storeUnfinishedTurn(turn, stored::complete) }
            assertEquals(true, stored.get(5, TimeUnit.SECONDS))
            for ((old, new) in listOf("a1" to "a2", "b1" to "b2", "c1" to "c2")) {
                fixture.start(new)
                TurnHostsFixture.awaitCondition("$new in the list") { fixture.listedHosts().any { it.name == new } }
                fixture.killAndDiscardDisk(old)
                TurnHostsFixture.awaitCondition("$old removed") { fixture.listedHosts().none { it.name == old } }
                TurnHostsFixture.awaitCondition("two copies") { fixture.copiesOf(StoredRecord(unfinishedTurn = turn).key) >= 2 }
            }
            fixture.awaitHosts("a2", "b2", "c2")
            val found = CompletableFuture<List<TurnRecord>>()
            fixture.on(fixture.clientGroup) {
                fixture.client.findStreamTurns(StreamTurnsRequest("first", "2"), 2_000) { turns, _ -> found.complete(turns) }
            }
            assertEquals(listOf("x\nx\n"), found.get(5, TimeUnit.SECONDS).map { String(it.output) })
        }

    private companion object {
        /** For the difference between the hosts' clocks. */
        const val EXPIRY_MARGIN_MILLIS = 30_000L
    }
}
