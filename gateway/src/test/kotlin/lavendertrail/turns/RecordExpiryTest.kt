package lavendertrail.turns

import lavendertrail.serving.StreamOrigin
import java.nio.file.Files
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against records that vanish before they expire, since an earlier record of the same subject expires, and against records that
 * stay because an earlier one is kept for longer.
 */
class RecordExpiryTest {
    private val origin = StreamOrigin("engines", "v1")

    private fun withRepository(test: TurnRepository.(clock: LongArray) -> Unit) {
        val folder = Files.createTempDirectory("turns")
        val clock = longArrayOf(1_000_000)
        try {
            TurnRepository(folder, Runnable::run, { clock[0] }, {}).use { repository ->
                repository.open()
                repository.test(clock)
            }
        } finally {
            folder.toFile().deleteRecursively()
        }
    }

    private fun TurnRepository.copiedOrigins(): Set<String> = readCopyPage(CopyRequest(0)).origins.map { it.attemptId }.toSet()

    @Test
    fun `an origin that is stored again is kept until its last expiry`() =
        withRepository { clock ->
            storeOrigin(OriginRecord("long", origin, clock[0] + 30_000)) {}
            clock[0] += 20_000
            storeOrigin(OriginRecord("long", origin, clock[0] + 100_000)) {}
            clock[0] += 90_000
            removeExpired()
            assertEquals(origin, findOrigin(OriginRequest("long")).origin)
        }

    @Test
    fun `an origin that another host keeps for longer is copied from it`() =
        withRepository { clock ->
            val short = OriginRecord("a", origin, clock[0] + 30_000)
            storeOrigin(short) {}
            val longer = StoredRecord(origin = short.copy(expiresAtEpochMillis = clock[0] + 100_000))
            assertEquals(listOf(0), findMissing(MissingRequest(listOf(longer.key))).indices)
            importRecords(listOf(longer)) {}
            assertEquals(emptyList(), findMissing(MissingRequest(listOf(longer.key))).indices)
        }

    @Test
    fun `records are found and copied until they expire, in whatever order they arrive and are renewed`() {
        for (seed in 1..20) {
            withRepository { clock ->
                val random = Random(seed)
                val expiries = HashMap<String, Long>()
                repeat(300) {
                    clock[0] += random.nextLong(0, 2_000)
                    val id = "stream${random.nextInt(40)}"
                    val expiry = clock[0] + random.nextLong(1_000, 400_000)
                    storeOrigin(OriginRecord(id, origin, expiry)) {}
                    expiries.merge(id, expiry, ::maxOf)
                    removeExpired()
                    val live = expiries.filterValues { it >= clock[0] - MARGIN_MILLIS }.keys
                    for (name in expiries.keys) {
                        assertEquals(if (name in live) origin else null, findOrigin(OriginRequest(name)).origin, "seed $seed, $name")
                    }
                    assertEquals(live, copiedOrigins(), "seed $seed")
                    expiries.keys.retainAll(live)
                }
            }
        }
    }

    private companion object {
        /** For the difference between the hosts' clocks. */
        const val MARGIN_MILLIS = 30_000L
    }
}
