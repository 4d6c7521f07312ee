package lavendertrail.gateway

import lavendertrail.serving.ClientAccount
import lavendertrail.serving.ClientAccounts
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.StoreHeard
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against keys that reach a server, and against requests that reach one after their key was taken away. */
class AccountKeysTest {
    private fun config(
        version: Long,
        vararg keys: String,
    ) = ConfigAccepted(
        GatewayFixture.config.let { config ->
            val routes = config.routes.map { it.copy(isPublic = it.prefix == "/once/", maxAttempts = 2, timeoutMillis = 5_000) }
            config.copy(version = version, routes = routes, accounts = ClientAccounts(keys.associateWith { ClientAccount("alice") }))
        },
    )

    private val forged = "X-Account: mallory\r\n"

    @Test
    fun `servers get the name of the account on fresh and kept connections, and no key`() {
        GatewayFixture { head, _ -> signed("done", Regex("X-Attempt: (\\S+)").find(head)!!.groupValues[1]) }.use { fixture ->
            fixture.gateway.submit(config(2, "k1"))
            fixture.gateway.submit(StoreHeard)
            for (id in listOf("a", "b")) assertEquals("done", fixture.call("/safe/x", id = id, headers = "X-Key: k1\r\n$forged")?.second)
            assertEquals("done", fixture.call("/once/x", id = "c", headers = "X-Key: k1\r\n$forged")?.second)
            val heads = fixture.server.requests.map { it.first }
            assertEquals(listOf(true, true, false), heads.map { "X-Account: alice" in it })
            assertTrue(heads.none { "X-Key" in it || "mallory" in it }, "$heads")
            assertTrue("503" in assertNotNull(fixture.call("/safe/x", id = "d", headers = "X-Key: k2\r\n")).first)
            assertEquals(3, fixture.server.requests.size)
            val dump = fixture.gateway.dump()
            assertEquals(listOf(1, true, 1L), listOf(dump.accounts, dump.areKeysTrusted, dump.rejections["unknown_key"]))
        }
    }

    @Test
    fun `headers go on unchanged where there are no accounts`() {
        GatewayFixture { _, _ -> signed("done") }.use { fixture ->
            assertEquals("done", fixture.call("/safe/x", headers = "X-Key: k1\r\n$forged")?.second)
            val head =
                fixture.server.requests
                    .single()
                    .first
            assertTrue("X-Key: k1" in head && "X-Account: mallory" in head, head)
        }
    }

    @Test
    fun `a request whose key is taken away during its first attempt is not sent again`() {
        val isReceived = CountDownLatch(1)
        val isTakenAway = CountDownLatch(1)
        GatewayFixture { _, _ ->
            isReceived.countDown()
            isTakenAway.await(5, TimeUnit.SECONDS)
            null
        }.use { fixture ->
            fixture.gateway.submit(config(2, "k1"))
            fixture.gateway.submit(StoreHeard)
            val answer = CompletableFuture.supplyAsync { fixture.call("/safe/x", headers = "X-Key: k1\r\nX-Deadline: 4000\r\n") }
            assertTrue(isReceived.await(5, TimeUnit.SECONDS))
            fixture.gateway.submit(config(3))
            fixture.awaitSubmittedTasks()
            isTakenAway.countDown()
            assertTrue("502" in assertNotNull(answer.get(10, TimeUnit.SECONDS)).first)
            assertEquals(1, fixture.server.requests.size)
            assertFalse("k1" in fixture.gateway.dump().toString())
        }
    }
}
