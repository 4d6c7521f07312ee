package lavendertrail.serving

import lavendertrail.model.FailureDomain
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against streams that go on at a server of another software version than the one that began them. */
class ResumeFlowTest {
    private val bench = ServingBench(isConfigured = false)

    init {
        val routes = bench.config.routes.map { if (it.kind == RequestKind.STREAM) it.copy(isResumable = true, maxAttempts = 3) else it }
        bench.apply(ConfigAccepted(bench.config.copy(routes = routes)))
        bench.apply(ServerRemoved("engine-1"))
        addEngine("old-1", "v1")
        addEngine("old-2", "v1")
        addEngine("new-1", "v2")
    }

    private fun addEngine(
        id: String,
        version: String,
    ) = bench.apply(ServerChanged(BackendServer(id, "engines", "10.0.0.1:80", FailureDomain("a"), 6, false, softwareVersion = version)))

    private fun newStream(id: String) = CallerRequest(id, "POST", "desk.example", "/chat/x", deadlineMillis = 4_000)

    private fun resume(id: String) = newStream(id).copy(resumeAfterEventId = "3", resumedAttemptId = "first")

    private fun load(
        key: RequestKey,
        origin: StreamOrigin?,
        isCertain: Boolean = true,
    ) {
        bench.apply(StreamPartLoaded(key, StreamPartResult.FOUND))
        bench.apply(StreamOriginLoaded(key, origin, isCertain))
    }

    @Test
    fun `a resumed stream goes only to servers of the version that began it`() {
        for (key in 1L..12L) {
            bench.arrive(key, resume("again$key"))
            assertEquals(
                "first",
                bench.effects
                    .filterIsInstance<LoadStreamOrigin>()
                    .single()
                    .attemptId,
            )
            load(key, StreamOrigin("engines", "v2"))
            val sent = bench.singleEffect<SendToServer>()
            assertEquals("new-1", sent.server.id)
            assertEquals("first", sent.originLease?.attemptId)
        }
    }

    @Test
    fun `a refused resume is sent again only to the same version`() {
        bench.arrive(1, resume("again"))
        load(1, StreamOrigin("engines", "v1"))
        val first = bench.singleEffect<SendToServer>().server
        bench.apply(AttemptEnded(1, AttemptOutcome.NOT_RUN))
        val second = bench.singleEffect<SendToServer>().server
        assertEquals(setOf("old-1", "old-2"), setOf(first.id, second.id))
    }

    @Test
    fun `a stream that breaks within an answer goes on at the same version or is broken off`() {
        bench.arrive(1, newStream("first"))
        val first = bench.singleEffect<SendToServer>()
        assertEquals("first", first.originLease?.attemptId)
        val others = listOf("old-1", "old-2", "new-1").filter { it != first.server.id }
        bench.apply(AttemptEnded(1, AttemptOutcome.BROKEN, lastEventId = "2", isAnswerStarted = true))
        if (first.server.softwareVersion == "v2") {
            assertEquals(1, bench.singleEffect<AbortResponse>().key)
        } else {
            val next = bench.singleEffect<SendToServer>()
            assertEquals("v1", next.server.softwareVersion)
            assertEquals(true, next.server.id in others)
            assertEquals("2", next.resumeAfterEventId)
            bench.apply(AttemptEnded(1, AttemptOutcome.BROKEN, lastEventId = "4", isAnswerStarted = true))
            assertEquals(1, bench.singleEffect<AbortResponse>().key)
        }
    }

    @Test
    fun `a stream that broke before its first event may begin at any version`() {
        bench.arrive(1, newStream("first"))
        val tried = mutableSetOf(bench.singleEffect<SendToServer>().server.softwareVersion)
        repeat(2) {
            bench.apply(AttemptEnded(1, AttemptOutcome.BROKEN))
            tried += bench.singleEffect<SendToServer>().server.softwareVersion
        }
        assertEquals(setOf("v1", "v2"), tried)
    }

    @Test
    fun `a resume is refused as not run if its version has left or its origin is unknown`() {
        val cases =
            listOf(
                Triple(StreamOrigin("engines", "v0"), true, RejectReason.STREAM_VERSION_GONE),
                Triple(StreamOrigin("tools", "v1"), true, RejectReason.STREAM_VERSION_GONE),
                Triple(null, true, RejectReason.STREAM_ORIGIN_UNKNOWN),
                Triple(null, false, RejectReason.STREAM_ORIGIN_UNKNOWN),
            )
        cases.forEachIndexed { index, (origin, isCertain, reason) ->
            bench.arrive(index.toLong(), resume("again$index"))
            load(index.toLong(), origin, isCertain)
            val refused = bench.singleEffect<Reject>()
            assertEquals(reason, refused.reason)
            assertEquals(isCertain, refused.retryAfterMillis == null)
        }
        bench.arrive(9, resume("unnamed").copy(resumedAttemptId = null))
        assertEquals(RejectReason.STREAM_ORIGIN_UNKNOWN, bench.singleEffect<Reject>().reason)
    }
}
