package lavendertrail.serving

import lavendertrail.model.FailureDomain
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against requests that run by a key that was never held, or was taken away too long ago, and against wrong refusals (CONFIG). */
class AccountKeysTest {
    private val base = ServingBench(isConfigured = false).config
    private val routes = base.routes + base.routes.first().copy(name = "open", prefix = "/open/", isPublic = true)
    private val alice = ClientAccount("alice")
    private var state = servingState(FailureDomain("a"))
    private var nowMillis = 100_000L
    private var lastKey = 0L

    private fun apply(event: ServingEvent): List<ServingEffect> {
        val step = reduceServing(state, nowMillis, event)
        state = step.state
        return step.effects
    }

    private fun config(
        version: Long,
        accounts: Map<String, ClientAccount>?,
    ) = ConfigAccepted(base.copy(version = version, routes = routes, accounts = accounts?.let(::ClientAccounts)))

    private fun start(
        accounts: Map<String, ClientAccount>? = mapOf("k1" to alice),
        configBoundMillis: Long? = 3_000,
        revocationBoundMillis: Long? = null,
        startedMillisAgo: Long = 10_000,
    ) {
        val settings = ServingSettings(configBoundMillis = configBoundMillis, revocationBoundMillis = revocationBoundMillis)
        state = servingState(FailureDomain("a"), settings)
        apply(StoreReachabilityChanged(true))
        nowMillis += startedMillisAgo
        apply(config(1, accounts))
        apply(ServersListed(listOf(ServingBench().server("tool-1", "tools"), ServingBench().server("engine-1", "engines"))))
    }

    private fun hear(askedMillisAgo: Long = 0) {
        apply(StoreHeard)
        apply(AccountsConfirmed(nowMillis - askedMillisAgo))
    }

    private fun call(
        key: String?,
        target: String = "/tools/x",
        request: CallerRequest = CallerRequest("r${++lastKey}", "POST", "desk.example", target, 1_000),
    ): List<ServingEffect> = apply(RequestArrived(++lastKey, request.copy(accountKey = key?.let(::AccountKey))))

    private fun reason(
        key: String?,
        target: String = "/tools/x",
    ): RejectReason? = (call(key, target).single() as? Reject)?.reason

    @Test
    fun `a request needs a key of an account, except on a public route and without accounts`() {
        start()
        hear()
        assertNull(reason("k1"))
        assertEquals(listOf(RejectReason.UNKNOWN_KEY, RejectReason.UNKNOWN_KEY), listOf(reason("k2"), reason(null)))
        val open = call(null, "/open/x").single() as SendToServer
        assertEquals(null to true, open.accountName to open.hidesAccountKey)
        val named = call("k1").single() as SendToServer
        assertEquals("alice" to true, named.accountName to named.hidesAccountKey)
        start(accounts = null)
        val plain = call("k2").single() as SendToServer
        assertEquals(null to false, plain.accountName to plain.hidesAccountKey)
    }

    @Test
    fun `a key is unknown only as long as the store has been heard within the bound`() {
        start()
        assertEquals(RejectReason.KEY_UNCERTAIN, reason("k2"))
        hear()
        nowMillis += 2_999
        assertEquals(RejectReason.UNKNOWN_KEY, reason("k2"))
        nowMillis += 1
        val rejection = call("k2").single() as Reject
        assertEquals(RejectReason.KEY_UNCERTAIN, rejection.reason)
        assertTrue(rejection.retryAfterMillis in 1L..1_000L && "k2" !in rejection.toString(), "$rejection")
        assertNull(reason("k1"), "without a bound on taking keys away, a known key counts on")
    }

    @Test
    fun `with a bound on taking keys away, keys count for a little less than it after the store was asked`() {
        start(revocationBoundMillis = 5_000)
        assertEquals(RejectReason.KEY_UNCERTAIN, reason("k1"), "a configuration that may be old, as after a restart")
        hear(askedMillisAgo = 1_500)
        nowMillis += 5_000 - 250 - 1_500 - 1
        assertNull(reason("k1"))
        assertTrue(state.areKeysTrusted(nowMillis))
        nowMillis += 1
        assertEquals(listOf(RejectReason.KEY_UNCERTAIN, RejectReason.KEY_UNCERTAIN), listOf(reason("k1"), reason(null)))
        assertNull(reason(null, "/open/x"), "public routes go on")
        assertFalse(state.areKeysTrusted(nowMillis))
        apply(StoreHeard)
        apply(AccountsConfirmed(nowMillis - 6_000))
        assertEquals(RejectReason.KEY_UNCERTAIN, reason("k1"), "an answer that was long on its way")
        hear()
        assertNull(reason("k1"))
    }

    @Test
    fun `after a pause, keys count only once the store was asked again`() {
        start(revocationBoundMillis = 5_000)
        hear()
        val askedMillis = nowMillis
        apply(ProcessPaused)
        apply(StoreHeard)
        apply(AccountsConfirmed(askedMillis))
        assertEquals(RejectReason.KEY_UNCERTAIN, reason("k1"))
        nowMillis += 5
        hear()
        assertNull(reason("k1"))
    }

    @Test
    fun `a key that is taken away runs no retry, and comes back with a later version`() {
        start()
        hear()
        val sent = call("k1").single() as SendToServer
        apply(ServerChanged(ServingBench().server("tool-2", "tools")))
        assertTrue(state.isKeyInForce(sent.key, nowMillis))
        apply(config(2, emptyMap()))
        assertFalse(state.isKeyInForce(sent.key, nowMillis))
        val end = apply(AttemptEnded(sent.key, AttemptOutcome.UNREACHABLE))
        assertEquals(RejectReason.UNKNOWN_KEY to "alice", (end.single() as Reject).let { it.reason to it.accountName })
        apply(config(1, mapOf("k1" to alice)))
        assertEquals(RejectReason.UNKNOWN_KEY, reason("k1"), "an older version")
        apply(config(3, mapOf("k1" to alice)))
        assertNull(reason("k1"))
    }

    @Test
    fun `a request that waits for its history is not sent by a key that counts no more`() {
        start(revocationBoundMillis = 5_000)
        hear(askedMillisAgo = 4_000)
        val turn = ServingBench().turnRequest("t0").copy(tokenBudget = null)
        val lookup = call("k1", request = turn).single() as LoadHistory
        nowMillis += 800
        val refused = apply(HistoryLoaded(lookup.key, HistoryResult.FOUND)).single() as Reject
        assertEquals(RejectReason.KEY_UNCERTAIN, refused.reason)
    }

    @Test
    fun `a request whose permit comes into force is not sent by a key that was taken away`() {
        start()
        hear()
        apply(RequestLimitsLearnt(listOf(StatedLimit("tool-1", 1.0))))
        val asked = call("k1").single() as RequestPermit
        apply(PermitDecided(asked.key, asked.candidates, asked.maxWaitMillis, PermitDecision("tool-1", 100, emptyMap())))
        apply(config(2, emptyMap()))
        nowMillis += 150
        assertEquals(RejectReason.UNKNOWN_KEY, (apply(ClockTicked).single() as Reject).reason)
    }

    @Test
    fun `requests with keys that arrive just after the start wait until the accounts are confirmed`() {
        start(revocationBoundMillis = 5_000, startedMillisAgo = 100)
        assertEquals(emptyList(), call("k1"))
        apply(StoreHeard)
        val released = apply(AccountsConfirmed(nowMillis))
        assertEquals("alice", (released.single() as SendToServer).accountName)
        start(revocationBoundMillis = 5_000, startedMillisAgo = 100)
        call("k1")
        nowMillis += 1_000
        assertEquals(RejectReason.KEY_UNCERTAIN, (apply(ClockTicked).single() as Reject).reason)
    }

    @Test
    fun `turns, budgets and programs of one account don't exist for another`() {
        start(mapOf("k1" to alice, "k2" to ClientAccount("bob")))
        hear()
        val turn = ServingBench().turnRequest("t0").copy(fingerprint = "f")
        val effects = listOf("k1", "k2").map { key -> call(key, request = turn.copy(attemptId = "of $key")) }
        assertEquals(2, effects.map { (it.first { effect -> effect is LoadHistory } as LoadHistory).turnId }.toSet().size)
        assertEquals(2, effects.map { (it.first { effect -> effect is ReserveTokens } as ReserveTokens).programId }.toSet().size)
        assertEquals("t0", accountOwnedId(null, "t0"))
        assertNotEquals(accountFingerprint("f", "alice"), accountFingerprint("f", "bob"))
    }

    @Test
    fun `the priority of an account goes before that of the route`() {
        val accounts = ClientAccounts(mapOf("k1" to alice.copy(priority = 0), "k2" to ClientAccount("bob")))
        val config = base.copy(accounts = accounts)
        val request = CallerRequest("r", "POST", "desk.example", "/tools/x", accountKey = AccountKey("k1"))
        val pending = PendingRequest(1, request, routes.first(), base.services.getValue("tools"), 0, 1, account = accounts["k1"])
        assertEquals(0, pending.priority)
        assertEquals(0, config.mostUrgentPriority)
        assertEquals(routes.first().priority, pending.copy(account = accounts["k2"]).priority)
    }

    @Test
    fun `a key shows in no text form`() {
        start(mapOf("secret-1" to alice))
        val request = CallerRequest("r", "GET", "h", "/", accountKey = AccountKey("secret-1"))
        val accounts = ClientAccounts(mapOf("secret-1" to alice))
        val texts = listOf(request, RequestArrived(1, request), base.copy(accounts = accounts), call("secret-2"), accounts)
        assertTrue(texts.none { "secret" in it.toString() }, "$texts")
    }
}
