package lavendertrail.turns

import lavendertrail.model.FailureDomain
import lavendertrail.serving.QuotaQuestion
import lavendertrail.serving.TurnHost
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against two hosts that grant the whole limit of one account, and against accounts that no host decides for (QUOTA). */
class QuotaHolderTest {
    private var nowMillis = 100_000L
    private val hosts = listOf("a1", "b1", "c1", "d1").map { TurnHost(it, "127.0.0.1:${it.hashCode()}", FailureDomain(it.take(1))) }
    private val question = QuotaQuestion("alice", requestsPerSecond = 10.0, burstRequests = 5.0, configVersion = 1, isNewProgram = false)
    private val first = quotaHolder("alice", hosts)!!
    private val second = quotaHolder("alice", hosts - first)!!

    private fun holder(host: TurnHost) = QuotaHolder(host, TRUST_MILLIS) { nowMillis }

    private fun QuotaHolder.countGranted(
        listing: TurnHostListing,
        millis: Long,
    ): Int {
        val end = nowMillis + millis
        var granted = 0
        while (nowMillis < end) {
            if (decide(question, listing, 3).decision?.isGranted == true) granted++
            nowMillis += 20
        }
        return granted
    }

    @Test
    fun `only the host that the list names decides`() {
        val listing = TurnHostListing(hosts, 1)
        for (host in hosts) assertEquals(host == first, holder(host).decide(question, listing, 3).decision != null, host.name)
    }

    @Test
    fun `a host that takes over waits until the former holder doesn't trust its list any more`() {
        val former = holder(first)
        val next = holder(second)
        val old = TurnHostListing(hosts, 1)
        val new = TurnHostListing(hosts - first, 2)
        former.confirm(nowMillis)
        assertNotNull(former.decide(question, old, 3).decision)
        assertNull(next.decide(question, old, 3).decision)
        val changedAtMillis = nowMillis
        var formerGrants = 0
        var bothGrant = 0
        while (nowMillis < changedAtMillis + 3 * TRUST_MILLIS) {
            nowMillis += 20
            next.confirm(nowMillis)
            val byNext = next.decide(question, new, 3).decision
            val byFormer = former.decide(question, old, 3).decision
            if (byFormer?.isGranted == true && nowMillis - changedAtMillis >= TRUST_MILLIS) formerGrants++
            if (byNext != null && nowMillis - changedAtMillis < TRUST_MILLIS) bothGrant++
        }
        assertEquals(0, bothGrant)
        val fullGrants = 2 * TRUST_MILLIS / 1_000 * question.requestsPerSecond
        assertTrue(formerGrants <= fullGrants / 2 + question.burstRequests, "$formerGrants of $fullGrants")
    }

    @Test
    fun `a host that does not hear from the store grants a part, and all of it again afterwards`() {
        val holder = holder(first)
        val listing = TurnHostListing(hosts, 1)
        holder.confirm(nowMillis)
        holder.countGranted(listing, 1_000)
        nowMillis += TRUST_MILLIS
        holder.countGranted(listing, 1_000)
        assertTrue(holder.countGranted(listing, 2_000) in 9..11)
        holder.confirm(nowMillis)
        assertTrue(holder.countGranted(listing, 2_000) in 19..21)
    }

    @Test
    fun `a host that stays the holder through a change of the list goes on`() {
        val holder = holder(first)
        holder.confirm(nowMillis)
        holder.decide(question, TurnHostListing(hosts, 1), 3)
        assertNotNull(holder.decide(question, TurnHostListing(hosts - second, 2), 3).decision)
    }

    @Test
    fun `several entry hosts together get the limit of an account, also after the host that decides was killed`() {
        TurnHostsFixture(storeWatchWaitMillis = 250).use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            val listed = fixture.awaitHosts("a1", "b1", "c1")
            val holder = quotaHolder("alice", listed)!!.name
            TurnHostsFixture.awaitCondition("first decision") { fixture.probeAndAsk() != null }
            val startNanos = System.nanoTime()
            var granted = 0
            for (round in 1..ROUNDS) {
                if (round == ROUNDS / 2) {
                    fixture.kill(holder)
                    assertNull(fixture.ask())
                    fixture.start(holder)
                    TurnHostsFixture.awaitCondition("decision after the restart") {
                        fixture.probeAndAsk()?.also { if (it) granted++ } != null
                    }
                }
                if (fixture.ask() == true) granted++
                Thread.sleep(5)
            }
            val seconds = (System.nanoTime() - startNanos) / 1e9
            val allowed = question.requestsPerSecond * seconds + question.burstRequests
            assertTrue(granted <= allowed + 1, "$granted of $allowed")
            assertTrue(granted >= allowed / 3, "$granted of $allowed")
        }
    }

    /** Asks as an entry host does, which probes the turn hosts that haven't answered in time. */
    private fun TurnHostsFixture.probeAndAsk(): Boolean? {
        on(clientGroup) { client.probeUnresponsive() }
        return ask()
    }

    /** Whether a request was granted; null without a decision. */
    private fun TurnHostsFixture.ask(): Boolean? {
        val result = CompletableFuture<QuotaReply?>()
        on(clientGroup) { client.askQuota(question) { result.complete(it) } }
        return result.get(5, TimeUnit.SECONDS)?.decision?.isGranted
    }

    private companion object {
        const val TRUST_MILLIS = 4_000L
        const val ROUNDS = 200
    }
}
