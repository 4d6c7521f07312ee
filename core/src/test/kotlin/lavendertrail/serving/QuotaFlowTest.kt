package lavendertrail.serving

import lavendertrail.model.FailureDomain
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests of an account that are sent without credit, or that wait, ask or lose credit without need. */
class QuotaFlowTest {
    private val bench = ServingBench()
    private var state = bench.state
    private var effects: List<ServingEffect> = emptyList()
    private val limited = ClientAccount("bakery", requestsPerSecond = 10.0, burstRequests = 5.0)
    private val sent get() = effects.filterIsInstance<SendToServer>().map { it.key }
    private val report get() = effects.filterIsInstance<ReportQuotas>().single()
    private val rejected get() = effects.filterIsInstance<Reject>()

    private fun apply(event: ServingEvent) {
        val step = reduceServing(state, bench.nowMillis, event)
        state = step.state
        effects = step.effects
    }

    private fun arrive(
        key: RequestKey,
        account: ClientAccount = limited,
    ) {
        val request = bench.plainRequest("/tools/$key", deadlineMillis = 4_000)
        val now = bench.nowMillis
        val service = bench.config.services.getValue("tools")
        val pending = PendingRequest(key, request, bench.config.routes.first(), service, now, now + 4_000, account = account)
        val work = ServingWork(state.parts, now)
        work.putRequest(pending)
        if (work.withQuota(pending) != null) work.placeRequest(key)
        state = ServingState(work.parts)
        effects = work.effects
    }

    private fun grant(
        report: ReportQuotas,
        requests: Int,
        mayWait: Boolean = false,
    ) = apply(QuotasGranted(report.sequence, report.sentAtMillis, report.uses, listOf(QuotaGrant("bakery", requests, 100, mayWait))))

    private fun tickAfter(millis: Long) {
        bench.nowMillis += millis
        apply(ClockTicked)
    }

    @Test
    fun `a request is sent once credit is granted, and the next one uses credit that is held`() {
        arrive(1)
        assertEquals(emptyList(), sent)
        grant(report, 2)
        assertEquals(listOf<RequestKey>(1), sent)
        arrive(2)
        assertEquals(listOf<ServingEffect>(), effects.filterIsInstance<ReportQuotas>())
        assertEquals(listOf<RequestKey>(2), sent)
    }

    @Test
    fun `an account without a limit costs no message and no wait`() {
        arrive(1, ClientAccount("unlimited"))
        assertEquals(listOf<RequestKey>(1), sent)
        tickAfter(1_000)
        assertEquals(emptyList(), effects.filterIsInstance<ReportQuotas>())
    }

    @Test
    fun `requests beyond the limit are refused at once, the next ones without asking`() {
        arrive(1)
        grant(report, 0)
        assertEquals(RejectReason.QUOTA_EXCEEDED, rejected.single().reason)
        assertTrue(checkNotNull(rejected.single().retryAfterMillis) >= 400)
        assertEquals(1, effects.filterIsInstance<LogQuotaReached>().size)
        arrive(2)
        assertEquals(listOf(RejectReason.QUOTA_EXCEEDED), rejected.map { it.reason })
        assertEquals(1, effects.size)
    }

    @Test
    fun `credit is not used after its lease, and a request that has reserved some asks again`() {
        arrive(1)
        grant(report, 2)
        bench.nowMillis += 1_500
        arrive(2)
        assertEquals(emptyList(), sent)
        assertEquals(0, report.uses.single().heldRequests)
    }

    @Test
    fun `credit is void after a pause, also what is on its way`() {
        arrive(1)
        val first = report
        grant(first, 3)
        arrive(2)
        apply(ProcessPaused)
        arrive(3)
        val second = report
        assertEquals(emptyList(), sent)
        apply(ProcessPaused)
        grant(second, 1)
        assertEquals(emptyList(), sent)
        assertEquals(1, report.uses.single().neededRequests)
    }

    @Test
    fun `requests wait while no turn host grants, and are refused as overload in the end`() {
        arrive(1)
        val first = report
        apply(QuotasGranted(first.sequence, first.sentAtMillis, first.uses, null))
        assertEquals(emptyList(), effects)
        tickAfter(50)
        assertEquals(1, report.uses.single().neededRequests)
        tickAfter(2_500)
        assertEquals(RejectReason.OVERLOADED, rejected.single().reason)
    }

    @Test
    fun `requests wait for a granter that has just started`() {
        arrive(1)
        grant(report, 0, mayWait = true)
        assertEquals(emptyList(), effects)
        tickAfter(50)
        grant(report, 1, mayWait = true)
        assertEquals(listOf<RequestKey>(1), sent)
    }

    @Test
    fun `a request that ends before it is sent gives its credit back`() {
        val empty = servingState(FailureDomain("a"))
        for (event in listOf(StoreReachabilityChanged(true), ConfigAccepted(bench.config))) {
            state = reduceServing(if (event is StoreReachabilityChanged) empty else state, bench.nowMillis, event).state
        }
        arrive(1)
        grant(report, 1)
        assertEquals(RejectReason.NO_SERVER, rejected.single().reason)
        assertEquals(1, state.quotaLevels.getValue("bakery").heldRequests)
    }

    @Test
    fun `spent credit is reported, and credit of an idle account returned`() {
        arrive(1)
        grant(report, 3)
        tickAfter(100)
        assertEquals(1L to 2, report.uses.single().let { it.spentRequests to it.heldRequests })
        grant(report, 0)
        tickAfter(1_000)
        assertEquals(0, report.uses.single().heldRequests)
        assertEquals(0, state.quotaLevels.getValue("bakery").heldRequests)
    }

    @Test
    fun `a request with credit in hand is decided in microseconds`() {
        arrive(1)
        grant(report, 100_000)
        val work = ServingWork(state.parts, bench.nowMillis)
        val request = bench.plainRequest("/tools/x")
        val route = bench.config.routes.first()
        val service = bench.config.services.getValue("tools")
        val pending = PendingRequest(9, request, route, service, bench.nowMillis, bench.nowMillis + 4_000, account = limited)
        val nanos =
            (1..ROUNDS).minOf {
                val start = System.nanoTime()
                repeat(CHECKS) { work.withQuota(pending) }
                (System.nanoTime() - start) / CHECKS
            }
        println("a quota check without a call takes $nanos ns")
        assertTrue(nanos < 5_000, "$nanos ns")
    }

    private companion object {
        const val ROUNDS = 20
        const val CHECKS = 2_000
    }
}
