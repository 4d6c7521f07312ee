package lavendertrail.dispatch

import lavendertrail.config.AccountRecord
import lavendertrail.config.OwnerRecord
import lavendertrail.model.AccountId
import lavendertrail.model.CallId
import lavendertrail.model.OwnerId
import lavendertrail.model.ServiceClass
import lavendertrail.reducer.DispatchCall
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RankPolicyTest {
    private val single = listOf(engine(1, maxRunningCalls = 1))

    /** Completes the running and queued calls one after the other and returns their order. */
    private fun DispatchFixture.order(durationMillis: Long = 10): List<CallId> {
        val order = mutableListOf<CallId>()
        while (running.isNotEmpty()) {
            val call = running.keys.first()
            order += call
            nowMillis += durationMillis
            complete(call)
            tick()
        }
        return order
    }

    private fun names(order: List<CallId>): String = order.joinToString(" ") { it.program.value.substringAfterLast('-') }

    /** Guards against batch calls before urgent ones in the policies that use classes, and against use of classes in the baselines. */
    @Test
    fun `classes go in order except in the baselines`() {
        val expected =
            mapOf(
                "programAware" to "first urgent normal batch",
                "clairvoyant" to "first urgent normal batch",
                "roundRobinFifo" to "first batch normal urgent",
                "leastLoadFifo" to "first batch normal urgent",
                "stickyFifo" to "first batch normal urgent",
            )
        val actual =
            expected.keys.associateWith { policy ->
                val fixture = DispatchFixture(single, DispatchSettings(policy = policy))
                fixture.request(modelCall(program("first")))
                for (each in ServiceClass.entries.reversed()) {
                    fixture.request(
                        modelCall(program(each.name.lowercase()), serviceClass = each),
                    )
                }
                names(fixture.order())
            }
        assertEquals(expected, actual)
    }

    /** Guards against starvation of the lowest class. The bound of its wait is maxClassWaitMillis plus two calls. */
    @Test
    fun `a batch call waits at most the class limit and two calls under urgent overload`() {
        val fixture = DispatchFixture(single)
        val callMillis = 500L
        fixture.request(modelCall(program("u0"), serviceClass = ServiceClass.URGENT, account = "urgent"))
        val batch = fixture.request(modelCall(program("batch"), serviceClass = ServiceClass.BATCH))
        val since = fixture.nowMillis
        var number = 1
        while (batch !in fixture.running && number < 200) {
            repeat(2) { fixture.request(modelCall(program("u${number++}"), serviceClass = ServiceClass.URGENT, account = "urgent")) }
            fixture.tick(callMillis)
            fixture.complete(fixture.running.keys.first())
        }
        val waited = fixture.nowMillis - since
        val limit = DispatchSettings().maxClassWaitMillis
        assertTrue(waited in limit..limit + 2 * callMillis, "waited $waited ms")
    }

    /** Guards against many overdue calls of one class that delay all urgent calls until they have run. */
    @Test
    fun `overdue calls and urgent calls alternate`() {
        val fixture = DispatchFixture(single)
        repeat(6) { fixture.request(modelCall(program("b$it"), serviceClass = ServiceClass.BATCH)) }
        fixture.tick(DispatchSettings().maxClassWaitMillis + 100)
        repeat(3) { fixture.request(modelCall(program("u$it"), serviceClass = ServiceClass.URGENT, account = "other")) }
        assertEquals("b0 b1 u0 b2 u1 b3 u2 b4 b5", names(fixture.order()))
    }

    /** Guards against an account that gets more than its share by sending more calls. */
    @Test
    fun `a flooding account gets no more than its weight`() {
        val accounts =
            listOf(AccountRecord(AccountId("flood"), OwnerId("barakah")), AccountRecord(AccountId("calm"), OwnerId("barakah"), weight = 2))
        val fixture = DispatchFixture(single, accounts = accounts)
        repeat(300) { fixture.request(modelCall(program("f$it"), account = "flood")) }
        repeat(40) { fixture.request(modelCall(program("c$it"), account = "calm")) }
        val first = fixture.order().drop(1).take(45)
        val calm =
            first.count {
                it.program.value
                    .substringAfterLast('-')
                    .startsWith("c")
            }
        assertTrue(calm in 28..32, "calm account got $calm of 45 slots")
    }

    /** Guards against an owner that gets less because the other owner has more accounts. */
    @Test
    fun `owners share by weight whatever the number of their accounts`() {
        val owners = listOf(OwnerRecord(OwnerId("barakah"), BATINAH, weight = 1), OwnerRecord(OwnerId("valdivieso"), BATINAH, weight = 1))
        val fixture = DispatchFixture(single, owners = owners)
        repeat(60) { fixture.request(modelCall(program("b$it"), account = "acct$it", owner = "barakah")) }
        repeat(60) { fixture.request(modelCall(program("v$it"), account = "single", owner = "valdivieso")) }
        val first = fixture.order().drop(1).take(40)
        val other =
            first.count {
                it.program.value
                    .substringAfterLast('-')
                    .startsWith("v")
            }
        assertTrue(other in 18..22, "the owner with one account got $other of 40 slots")
    }

    /** Guards against an account that accumulates credit while idle and then monopolizes the servers. */
    @Test
    fun `an account that was idle gets no credit`() {
        val fixture = DispatchFixture(single)
        repeat(100) { fixture.request(modelCall(program("w$it"), account = "worker")) }
        repeat(80) { fixture.complete(fixture.running.keys.first()) }
        repeat(20) { fixture.request(modelCall(program("i$it"), account = "idle")) }
        val first = fixture.order().drop(1).take(20)
        val idle =
            first.count {
                it.program.value
                    .substringAfterLast('-')
                    .startsWith("i")
            }
        assertTrue(idle in 9..12, "the idle account got $idle of 20 slots")
    }

    private class RankCase(
        val name: String,
        val waiting: List<DispatchCall>,
        val expected: String,
    )

    /** Guards against a wrong order within one account; each case names the criterion that decides. */
    @Test
    fun `rank within an account`() {
        val near = DispatchFixture().nowMillis + 5_000
        val cases =
            listOf(
                RankCase("age", listOf(modelCall(program("a")), modelCall(program("b"))), "a b"),
                RankCase("attained service", listOf(modelCall(program("old"), 1), modelCall(program("b"))), "b old"),
                RankCase(
                    "near program deadline",
                    listOf(modelCall(program("a")), modelCall(program("late")).copy(programDeadlineMillis = near)),
                    "late a",
                ),
                RankCase(
                    "sub-agent has its parent's class",
                    listOf(
                        modelCall(program("n")),
                        modelCall(program("p").child(1), serviceClass = ServiceClass.BATCH).copy(blocksParent = true),
                    ),
                    "p.1 n",
                ),
                RankCase(
                    "sub-agent that blocks nobody has its own class",
                    listOf(modelCall(program("p").child(1), serviceClass = ServiceClass.BATCH), modelCall(program("n"))),
                    "n p.1",
                ),
            )
        val actual =
            cases.associate { case ->
                val fixture = DispatchFixture(single)
                val parent = fixture.request(modelCall(program("p"), serviceClass = ServiceClass.URGENT))
                fixture.complete(parent)
                val old = fixture.request(modelCall(program("old"), promptTokens = 40_000))
                fixture.complete(old, lavendertrail.model.Usage(promptTokens = 40_000, generatedTokens = 500))
                fixture.request(modelCall(program("first")))
                case.waiting.forEach { fixture.request(it) }
                case.name to names(fixture.order().drop(1))
            }
        assertEquals(cases.associate { it.name to it.expected }, actual)
    }
}
