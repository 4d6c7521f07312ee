package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards against a request that crashes the servers that run it and is sent on without end, and against isolating harmless ones. */
class CrashFlowTest {
    private val bench = ServingBench().apply { (2..6).forEach { addServer("tool-$it", "tools") } }
    private var nextKey = 1L

    private fun arrive(
        fingerprint: String = "f",
        path: String = "/orders/x",
        session: String? = null,
    ): RequestKey {
        val key = nextKey++
        val request = bench.plainRequest(path, deadlineMillis = 2_000)
        bench.arrive(key, request.copy(attemptId = "r$key", fingerprint = fingerprint, sessionId = session))
        return key
    }

    private fun end(
        key: RequestKey,
        outcome: AttemptOutcome,
    ) = bench.apply(AttemptEnded(key, outcome))

    private fun crash(
        fingerprint: String = "f",
        session: String? = null,
    ) {
        val key = arrive(fingerprint, session = session)
        assertIs<SendToServer>(bench.effects.last())
        bench.nowMillis += 20
        end(key, AttemptOutcome.BROKEN)
        bench.nowMillis += 1_000
        bench.apply(ClockTicked)
    }

    private fun answer(session: String) = end(arrive(session = session), AttemptOutcome.ANSWERED)

    private fun assertIsolated(
        waitMillis: Long,
        session: String? = null,
    ) {
        arrive(session = session)
        val rejection = bench.singleEffect<Reject>()
        assertEquals(RejectReason.CRASHES_SERVERS, rejection.reason)
        assertEquals(waitMillis, rejection.retryAfterMillis)
    }

    @Test
    fun `a request that has crashed three servers is refused as not run`() {
        repeat(3) { crash() }
        assertIsolated(waitMillis = 19_000)
        arrive("another")
        assertIs<SendToServer>(bench.effects.single())
    }

    // Guards against counts that begin anew with each program or session that sends the same request.
    @Test
    fun `a request that three sessions have sent to their servers' end is refused to a fourth`() {
        repeat(3) { crash(session = "s$it") }
        assertIsolated(waitMillis = 19_000, session = "another")
    }

    @Test
    fun `a session whose requests crash servers doesn't shut out others that are answered`() {
        answer(session = "harmless")
        repeat(3) { crash(session = "harmful") }
        assertIsolated(waitMillis = 19_000, session = "harmful")
        repeat(3) {
            answer(session = "harmless-$it")
            assertIsolated(waitMillis = 19_000, session = "harmful")
        }
    }

    @Test
    fun `a request that was answered before is refused to all once three sessions in a row have crashed servers`() {
        answer(session = "harmless")
        repeat(2) { crash(session = "s$it") }
        crash(session = "s1")
        answer(session = "s3")
        repeat(3) { crash(session = "t$it") }
        assertIsolated(waitMillis = 19_000, session = "harmless")
    }

    @Test
    fun `a host that has answered the request for others says so once it hears of a loss`() {
        answer(session = "harmless")
        val loss = CrashEvidence(CrashEvidenceKind.CONNECTION_LOST, "f", "r", "s", 20, 0, "harmful")
        bench.apply(CrashEvidenceLearnt(listOf(loss)))
        val answer = bench.singleEffect<ReportCrashEvidence>().evidence.single()
        assertEquals(CrashEvidenceKind.COMPLETED, answer.kind)
        bench.apply(CrashEvidenceLearnt(listOf(loss.copy(attemptId = "r2"))))
        assertEquals(emptyList(), bench.effects)
        val elsewhere = ServingBench()
        elsewhere.nowMillis = bench.nowMillis
        elsewhere.apply(
            CrashEvidenceLearnt(
                List(3) {
                    loss.copy(
                        attemptId = "r$it",
                        startedMillisAgo = 3_020L - it * 1_000,
                        endedMillisAgo =
                            3_000L - it * 1_000,
                    )
                },
            ),
        )
        elsewhere.apply(CrashEvidenceLearnt(listOf(answer.copy(endedMillisAgo = 9_000))))
        elsewhere.arrive(1, elsewhere.plainRequest("/orders/x", deadlineMillis = 2_000).copy(fingerprint = "f", sessionId = "other"))
        assertIs<SendToServer>(elsewhere.effects.single())
    }

    // Guards against copies that reach further servers within the time that the first report waits.
    @Test
    fun `the second loss of a request is reported at once`() {
        bench.apply(CrashEvidenceLearnt(listOf(CrashEvidence(CrashEvidenceKind.CONNECTION_LOST, "f", "r", "s", 520, 500))))
        end(arrive(), AttemptOutcome.BROKEN)
        bench.apply(ClockTicked)
        assertEquals(
            0,
            bench
                .singleEffect<ReportCrashEvidence>()
                .evidence
                .single()
                .endedMillisAgo,
        )
    }

    @Test
    fun `a request with two losses is sent on after a refusal`() {
        repeat(2) { crash() }
        val key = arrive()
        end(key, AttemptOutcome.NOT_RUN)
        assertIs<SendToServer>(bench.effects.last())
    }

    @Test
    fun `answers that can't be passed on are no crashes`() {
        repeat(4) {
            val key = arrive()
            assertIs<SendToServer>(bench.effects.last())
            bench.nowMillis += 20
            bench.apply(AttemptEnded(key, AttemptOutcome.BROKEN, isServerAlive = true))
            bench.nowMillis += 1_000
        }
    }

    @Test
    fun `a host that has only heard of the crashes refuses the request too`() {
        val heard =
            List(3) { CrashEvidence(CrashEvidenceKind.CONNECTION_LOST, "f", "r$it", "s$it", 3_020L - it * 1_000, 3_000L - it * 1_000) }
        bench.apply(CrashEvidenceLearnt(heard + heard))
        assertIsolated(waitMillis = 19_000)
    }

    @Test
    fun `a lost connection is reported once the server has had time to answer another request`() {
        val key = arrive()
        end(key, AttemptOutcome.BROKEN)
        bench.nowMillis += 250
        bench.apply(ClockTicked)
        assertEquals(emptyList(), bench.effects)
        bench.nowMillis += 50
        bench.apply(ClockTicked)
        val evidence = bench.singleEffect<ReportCrashEvidence>().evidence.single()
        assertEquals(CrashEvidenceKind.CONNECTION_LOST to 300L, evidence.kind to evidence.endedMillisAgo)
        bench.apply(ClockTicked)
        assertEquals(emptyList(), bench.effects)
    }

    @Test
    fun `servers that go down together count as one crash of a request that they all run`() {
        val keys = List(5) { arrive() }
        bench.nowMillis += 20
        keys.forEach { end(it, AttemptOutcome.BROKEN) }
        bench.nowMillis += 100
        arrive()
        assertIs<SendToServer>(bench.effects.single())
    }

    @Test
    fun `a server that answers another request after a lost connection has not crashed`() {
        repeat(3) {
            val key = arrive()
            val server = bench.singleEffect<SendToServer>().server.id
            bench.nowMillis += 20
            end(key, AttemptOutcome.BROKEN)
            bench.nowMillis += 300
            bench.apply(ClockTicked)
            while (true) {
                val other = arrive("other")
                val isSame = bench.singleEffect<SendToServer>().server.id == server
                bench.apply(AnswerStarted(other, null))
                if (!isSame) continue
                assertEquals(
                    CrashEvidenceKind.SERVER_ALIVE,
                    bench
                        .singleEffect<ReportCrashEvidence>()
                        .evidence
                        .single()
                        .kind,
                )
                break
            }
        }
        arrive()
        assertIs<SendToServer>(bench.effects.single())
    }

    @Test
    fun `an answer clears a request that lost its connections by chance`() {
        repeat(2) { crash() }
        end(arrive(), AttemptOutcome.ANSWERED)
        assertEquals(
            CrashEvidenceKind.COMPLETED,
            bench
                .singleEffect<ReportCrashEvidence>()
                .evidence
                .single()
                .kind,
        )
        crash()
        arrive()
        assertIs<SendToServer>(bench.effects.single())
    }

    @Test
    fun `a request that has crashed two servers is sent to one at a time`() {
        repeat(2) { crash() }
        val running = arrive()
        arrive()
        assertEquals(RejectReason.CRASHES_SERVERS, bench.singleEffect<Reject>().reason)
        end(running, AttemptOutcome.ANSWERED)
        arrive()
        assertIs<SendToServer>(bench.effects.single())
    }

    @Test
    fun `an isolated request is tried once after the isolation, which is longer if it crashes again`() {
        repeat(3) { crash() }
        bench.nowMillis += 19_000
        val trial = arrive()
        assertEquals(
            CrashEvidenceKind.TRIED,
            assertIs<ReportCrashEvidence>(bench.effects.first())
                .evidence
                .single()
                .kind,
        )
        assertIs<SendToServer>(bench.effects.last())
        assertIsolated(waitMillis = 40_000)
        end(trial, AttemptOutcome.NOT_RUN)
        assertIs<SendToServer>(bench.effects.last())
        end(trial, AttemptOutcome.BROKEN)
        assertIsolated(waitMillis = 40_000)
    }

    @Test
    fun `a trial at another host renews the isolation here, and its answer ends it`() {
        repeat(3) { crash() }
        bench.nowMillis += 19_000
        bench.apply(CrashEvidenceLearnt(listOf(CrashEvidence(CrashEvidenceKind.TRIED, "f", "other", "", 0, 0))))
        assertIsolated(waitMillis = 40_000)
        bench.apply(CrashEvidenceLearnt(listOf(CrashEvidence(CrashEvidenceKind.COMPLETED, "f", "other", "s", 10, 0))))
        arrive()
        assertIs<SendToServer>(bench.effects.single())
    }

    @Test
    fun `a request that goes on crashing servers is tried three times in a day`() {
        repeat(3) { crash() }
        val firstCrashesMillis = bench.nowMillis
        val trialsMillis = mutableListOf<Long>()
        while (bench.nowMillis < firstCrashesMillis + 86_000_000) {
            val key = arrive()
            if (bench.effects.any { it is SendToServer }) {
                trialsMillis += bench.nowMillis - firstCrashesMillis
                bench.nowMillis += 20
                end(key, AttemptOutcome.BROKEN)
            }
            bench.nowMillis += 5_000
            bench.apply(ClockTicked)
        }
        assertEquals(listOf(20L, 60L, 3_660L), trialsMillis.map { it / 5_000 * 5 })
    }

    @Test
    fun `a trial that no server ran is repeated, and costs none of the trials`() {
        repeat(3) { crash() }
        bench.nowMillis += 19_000
        bench.apply(ClockTicked)
        repeat(4) {
            val trial = arrive()
            assertIs<SendToServer>(bench.effects.last())
            repeat(4) { end(trial, AttemptOutcome.NOT_RUN) }
            assertIsolated(waitMillis = 40_000)
            bench.nowMillis += 40_000
        }
    }

    @Test
    fun `a request that may be repeated is not sent to a fourth server`() {
        repeat(3) { crash() }
        bench.nowMillis += 19_000
        val trial = arrive(path = "/tools/x")
        end(trial, AttemptOutcome.BROKEN)
        assertEquals(RejectReason.SERVER_FAILED, bench.singleEffect<Reject>().reason)
    }

    @Test
    fun `the memory for crash records is bounded`() {
        val evidence = List(3_000) { CrashEvidence(CrashEvidenceKind.CONNECTION_LOST, "f$it", "r$it", "s", 20, 0) }
        bench.apply(CrashEvidenceLearnt(evidence))
        assertEquals(1_000, bench.state.parts.crashes.size)
        bench.nowMillis += 86_400_000
        bench.apply(CrashEvidenceLearnt(evidence.take(1)))
        assertEquals(1, bench.state.parts.crashes.size)
    }
}
