package lavendertrail.turns

import lavendertrail.gateway.singleEventLoop
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempDirectory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against a turn that can still be continued while an earlier turn of its chain has expired: it was answered 404 (review/3).
 */
class ChainExpiryTest {
    private var nowMillis = 1_000_000L

    private fun turn(
        id: String,
        previous: String?,
        endedMillis: Long,
    ) = TurnRecord(id, "p", previous, "in".toByteArray(), "out".toByteArray(), turnExpiry(endedMillis, RETENTION_MILLIS))

    private fun <T> withRepository(
        folder: Path,
        test: (store: (TurnRecord) -> Unit, repository: TurnRepository) -> T,
    ): T {
        val group = singleEventLoop()
        val repository = TurnRepository(folder, group.next(), { nowMillis }, { error(it) })
        group.next().submit { repository.open() }.get()
        val store = { record: TurnRecord ->
            val isStored = CompletableFuture<Boolean>()
            group.next().execute { repository.storeTurn(record) { isStored.complete(it.isKept) } }
            assertTrue(isStored.get(5, TimeUnit.SECONDS))
        }
        try {
            return test(store, repository)
        } finally {
            repository.close()
            group.shutdownGracefully()
        }
    }

    private fun TurnRepository.chainOf(id: String) = readChain(ChainRequest(id)).turns.map { it.id }

    @Test
    fun `a turn that is stored again is kept for the longer time, also over a restart`() {
        val folder = createTempDirectory("chain")
        val first = turn("t1", null, nowMillis)
        withRepository(folder) { store, repository ->
            store(first)
            nowMillis += 50_000
            val second = turn("t2", "t1", nowMillis)
            store(first.extendedTo(second.expiresAtEpochMillis))
            store(second)
            nowMillis += 80_000
            repository.removeExpired()
            assertEquals(listOf("t2", "t1"), repository.chainOf("t2"))
        }
        withRepository(folder) { _, repository ->
            assertEquals(listOf("t2", "t1"), repository.chainOf("t2"))
            nowMillis += 80_000
            repository.removeExpired()
            assertEquals(emptyList(), repository.chainOf("t2"))
        }
    }

    @Test
    fun `storing a turn keeps its chain at as many hosts and for as long as the turn itself`() {
        TurnHostsFixture().use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            fixture.awaitHosts("a1", "b1", "c1")
            val now = System.currentTimeMillis()
            val old = turn("t1", null, now - 50_000)
            val recent = turn("t2", "t1", now - 5_000)
            val newest = turn("t3", "t2", now)
            listOf(old, recent).forEach { assertTrue(fixture.save(it, emptyList(), 0)) }
            assertTrue(fixture.save(newest, listOf(old, recent), now + RETENTION_MILLIS))
            assertEquals(2, fixture.copiesOf(RecordKey("t1", expiresAtEpochMillis = newest.expiresAtEpochMillis)))
            // A turn that outlives the new one's retention anyway isn't written once more.
            assertEquals(0, fixture.copiesOf(RecordKey("t2", expiresAtEpochMillis = newest.expiresAtEpochMillis)))
            assertEquals(2, fixture.copiesOf(RecordKey("t2", expiresAtEpochMillis = now + RETENTION_MILLIS)))
        }
    }

    @Test
    fun `a chain of turns that each follow within the retention never has a gap`() {
        val folder = createTempDirectory("chain")
        withRepository(folder) { store, repository ->
            var chain = emptyList<TurnRecord>()
            repeat(12) { number ->
                val next = turn("t$number", chain.lastOrNull()?.id, nowMillis)
                val stored = chain.withExtended(next, nowMillis + RETENTION_MILLIS)
                stored.forEach(store)
                chain = chain.map { turn -> stored.firstOrNull { it.id == turn.id } ?: turn } + next
                nowMillis += RETENTION_MILLIS - 1
                repository.removeExpired()
                assertEquals(chain.map { it.id }.reversed(), repository.chainOf(next.id))
            }
        }
    }

    private companion object {
        const val RETENTION_MILLIS = 60_000L
    }
}
