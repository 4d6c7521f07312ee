package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Guards against records that are kept for a fixed time whatever the configuration promises: streams of more than a minute could not
 * be resumed, and a program that returned late got its budget again.
 */
class RecordRetentionTest {
    private fun benchOf(change: (Route) -> Route): ServingBench {
        val bench = ServingBench()
        bench.apply(ConfigAccepted(bench.config.copy(version = 2, routes = bench.config.routes.map(change))))
        return bench
    }

    private fun stream(
        id: String,
        deadlineMillis: Long?,
    ) = CallerRequest(id, "POST", "desk.example", "/chat/x", deadlineMillis)

    private fun ServingBench.leaseOf(request: CallerRequest): OriginLease? {
        arrive(1, request)
        if (request.resumeAfterEventId != null) {
            apply(StreamPartLoaded(1, StreamPartResult.FOUND))
            apply(StreamOriginLoaded(1, server("engine-1", "engines").streamOrigin, isCertain = true))
        }
        return singleEffect<SendToServer>().originLease
    }

    @Test
    fun `the origin of a stream is kept for longer than its caller waits for the stream`() {
        for (timeoutMillis in listOf(1_000L, 4_000, 31_000, 100_000, 600_000)) {
            for (deadlineMillis in listOf(null, 1_000L, 70_000, 1_000_000)) {
                val bench = benchOf { it.copy(isResumable = true, timeoutMillis = timeoutMillis) }
                val waitMillis = minOf(timeoutMillis, deadlineMillis ?: timeoutMillis)
                val lease = bench.leaseOf(stream("first", deadlineMillis))!!
                assertTrue(lease.retentionMillis > waitMillis, "timeout $timeoutMillis, deadline $deadlineMillis: $lease")
            }
        }
    }

    @Test
    fun `the origin of a stream with long pauses is kept until its caller has given the stream up`() {
        for (gapMillis in listOf(200L, 1_500, 10_000, 60_000)) {
            val bench = benchOf { it.copy(isResumable = true, eventGapAimMillis = gapMillis) }
            val lease = bench.leaseOf(stream("first", 4_000))!!
            assertTrue(lease.retentionMillis >= 8 * gapMillis, "pause $gapMillis: $lease")
        }
    }

    @Test
    fun `a stream without an end in sight is not stored for longer than the longest wait`() {
        val bench = benchOf { it.copy(isResumable = true, timeoutMillis = 86_400_000) }
        assertTrue(bench.leaseOf(stream("first", null))!!.retentionMillis < 700_000)
    }

    @Test
    fun `a resumed stream renews the origin of the attempt that began it`() {
        val bench = benchOf { it.copy(isResumable = true, timeoutMillis = 100_000) }
        val lease = bench.leaseOf(stream("again", 90_000).copy(resumeAfterEventId = "3", resumedAttemptId = "first"))!!
        assertEquals("first", lease.attemptId)
        assertTrue(lease.retentionMillis > 90_000)
    }

    @Test
    fun `a stream that can not be resumed has no origin`() = assertNull(ServingBench().leaseOf(stream("first", 4_000)))

    @Test
    fun `the token uses of a program outlive the turns with which it may return`() {
        for (retentionMillis in listOf(60_000L, 300_000, 3_600_000)) {
            val bench = benchOf { route -> route.copy(turnRetentionMillis = route.turnRetentionMillis?.let { retentionMillis }) }
            bench.arrive(1, bench.turnRequest(previous = null))
            val reserved = bench.singleEffect<ReserveTokens>()
            // Earlier uses of the program may expire that much sooner than its newest one.
            assertTrue(reserved.retentionMillis - TOKEN_USE_RENEWAL_MILLIS >= retentionMillis + 4_000, "$retentionMillis: $reserved")
            bench.apply(TokensReserved(1, ReservationResult.RESERVED))
            bench.apply(AttemptEnded(1, AttemptOutcome.ANSWERED))
            val settled = bench.effects.filterIsInstance<SettleTokens>().single()
            assertTrue(settled.retentionMillis - TOKEN_USE_RENEWAL_MILLIS >= retentionMillis, "$retentionMillis: $settled")
        }
    }

    @Test
    fun `a trial whose outcome is unknown excludes further ones for as long as a request may take`() {
        val settings = ServingSettings()
        var record = CrashRecord(changedAtMillis = 0)
        for (number in 1L..3) {
            val loss = LostAttempt(startedAtMillis = 10 * number, endedAtMillis = 10 * number + 5, senderId = "s")
            record = record.withLoss(LossId("a$number", "server$number"), loss, nowMillis = 0)
        }
        record = record.withTrial("trial", atMillis = 20_000, nowMillis = 20_000)
        assertEquals(20_000 + 100_000, record.isolatedUntilMillis("s", settings, longestTimeoutMillis = 100_000))
        assertEquals(20_000 + 40_000, record.isolatedUntilMillis("s", settings, longestTimeoutMillis = 4_000))
    }
}
