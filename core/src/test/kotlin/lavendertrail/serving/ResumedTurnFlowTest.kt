package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a resumed turn that runs although it isn't known what its caller has of it, and against look-ups for other requests. */
class ResumedTurnFlowTest {
    private val request =
        CallerRequest(
            "again",
            "POST",
            "desk.example",
            "/chat/x",
            deadlineMillis = 4_000,
            resumeAfterEventId = "3",
            resumedAttemptId = "first",
            programId = "p",
            previousTurnId = "before",
        )

    private fun bench(
        isResumable: Boolean,
        retentionMillis: Long?,
    ) = ServingBench(isConfigured = false).also { bench ->
        val routes = bench.config.routes.map { it.copy(isResumable = isResumable, turnRetentionMillis = retentionMillis) }
        bench.apply(ConfigAccepted(bench.config.copy(routes = routes)))
    }

    private fun ServingBench.load(
        result: StreamPartResult,
        partIsLast: Boolean,
    ) {
        val others = listOf(HistoryLoaded(1, HistoryResult.FOUND), StreamOriginLoaded(1, StreamOrigin("engines", ""), true))
        if (!partIsLast) apply(StreamPartLoaded(1, result))
        others.forEach(::apply)
        if (partIsLast) apply(StreamPartLoaded(1, result))
    }

    @Test
    fun `the earlier part is looked up only for a resume of a turn that is kept`() {
        val bench = bench(isResumable = true, retentionMillis = 60_000)
        bench.arrive(1, request)
        val lookup = bench.effects.filterIsInstance<LoadStreamPart>().single()
        assertEquals(listOf("first", "3", "p", "before"), with(lookup) { listOf(streamId, lastEventId, programId, previousTurnId) })
        bench.arrive(2, request.copy(attemptId = "new", resumeAfterEventId = null, resumedAttemptId = null))
        assertTrue(bench.effects.none { it is LoadStreamPart })
        val other = bench(isResumable = true, retentionMillis = null)
        other.arrive(1, request)
        assertTrue(other.effects.none { it is LoadStreamPart })
    }

    @Test
    fun `a resumed turn is sent once its earlier part is known, whichever answer comes last`() {
        for (partIsLast in listOf(true, false)) {
            val bench = bench(isResumable = true, retentionMillis = 60_000)
            bench.arrive(1, request)
            bench.load(StreamPartResult.FOUND, partIsLast)
            assertEquals(60_000, bench.singleEffect<SendToServer>().turnRetentionMillis)
        }
    }

    @Test
    fun `a resumed turn whose earlier part isn't known is refused as not run`() {
        for (result in StreamPartResult.entries - StreamPartResult.FOUND) {
            for (partIsLast in listOf(true, false)) {
                val bench = bench(isResumable = true, retentionMillis = 60_000)
                bench.arrive(1, request)
                bench.load(result, partIsLast)
                if (!partIsLast) {
                    assertTrue(bench.effects.isEmpty(), "$result")
                    continue
                }
                val refused = bench.singleEffect<Reject>()
                assertEquals(RejectReason.STREAM_PART_UNKNOWN, refused.reason)
                assertEquals(true, refused.reason.isNotRun)
                assertEquals(result == StreamPartResult.UNCERTAIN, refused.retryAfterMillis != null)
            }
        }
    }
}
