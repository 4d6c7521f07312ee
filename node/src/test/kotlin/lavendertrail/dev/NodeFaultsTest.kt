package lavendertrail.dev

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import lavendertrail.http.httpClient
import lavendertrail.model.Message
import lavendertrail.model.ProgramId
import lavendertrail.model.ToolId
import lavendertrail.standins.EngineStandin
import lavendertrail.standins.Outage
import lavendertrail.standins.ToolFault
import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Injects one fault per test and checks the limit that docs/design.md states for it. */
class NodeFaultsTest {
    private fun ask(text: String) = listOf(Message("user", text))

    /** Callers that run one program after another until [end], which returns what the callers observed. */
    private class ProgramLoad(
        caller: RetryingCaller,
        callers: Int,
    ) {
        private val stop = AtomicBoolean()
        private val views = CopyOnWriteArrayList<CallerView>()
        private val running =
            (1..callers).map { CompletableFuture.runAsync { while (!stop.get()) views += caller.runProgram(stop::get) } }

        fun end(): List<CallerView> {
            stop.set(true)
            running.forEach { it.get(60, TimeUnit.SECONDS) }
            return views
        }
    }

    private fun FaultFixture.load(callers: Int) = ProgramLoad(caller, callers)

    /** Guards against a planned stop that cuts off or refuses requests, or loses or repeats calls. */
    @Test
    fun `a node that drains under load cuts off no request`() {
        FaultFixture().use { fixture ->
            val load = fixture.load(6)
            waitFor("load runs") { fixture.engines("permit-desk").sumOf { it.executedCalls.size } > 20 }
            val drained = fixture.cluster.stop(1)
            val views = load.end()
            assertTrue(drained, "the drain reached its limit")
            assertEquals(emptyList(), fixture.caller.retryCauses)
            assertEquals(emptyList(), InvariantCheck(fixture.cluster.platform, views, fixture.api).problems())
        }
    }

    /** Guards against a charge that is lost or repeated when the node that sent it dies before the answer. */
    @Test
    fun `a keyed call runs once and is answered when its owner node is killed before the answer`() {
        FaultFixture().use { fixture ->
            fixture.cluster.platform.tools
                .forEach { it.standin.slowFactor = 50.0 }
            val view = fixture.caller.open()
            val owner = fixture.ownerOf(view.program)
            val other = RetryingCaller({ listOf(fixture.addressOf((owner + 1) % FaultFixture.NODES)) })
            other.turn(view)
            val charge = CompletableFuture.runAsync { other.turn(view) }
            waitFor("the charge runs") {
                fixture.cluster.platform
                    .executionsOf(ToolId("fee-charge"))
                    .isNotEmpty()
            }
            fixture.cluster.kill(owner)
            charge.get(60, TimeUnit.SECONDS)
            assertEquals(setOf(0, 1), view.answers.keys.toSet())
            assertEquals(emptyList(), InvariantCheck(fixture.cluster.platform, listOf(view), fixture.api).problems())
        }
    }

    /** Guards against work that is still sent to a leaving server, whose drain would then never end. */
    @TestFactory
    fun `a leaving engine gets no new work after 3 s`(): List<DynamicTest> =
        listOf<Pair<String, (FaultFixture, String) -> Unit>>(
            "its own report says so" to { fixture, server -> fixture.engine(server).faults.leaving = true },
            "the host list says so" to { fixture, server ->
                fixture.cluster.platform.hostList
                    .leave(server)
            },
        ).map { (name, leave) ->
            dynamicTest(name) {
                FaultFixture().use { fixture ->
                    val load = fixture.load(4)
                    waitFor("both engines have work") { fixture.engines("permit-desk").all { it.executedCalls.isNotEmpty() } }
                    leave(fixture, "permit-desk-1")
                    val limit = System.currentTimeMillis() + LEAVING_LIMIT_MILLIS
                    waitFor("the other engine works on after the limit") {
                        fixture.engine("permit-desk-2").executedCalls.count { it.startedMillis > limit } > 20
                    }
                    load.end()
                    val late = fixture.engine("permit-desk-1").executedCalls.filter { it.startedMillis > limit }
                    assertEquals(emptyList(), late)
                }
            }
        }

    /** Guards against a request that crashes one engine after another because each node counts crashes on its own. */
    @Test
    fun `a poison request crashes at most two engines when it is sent again through other nodes`() {
        FaultFixture().use { fixture ->
            val refusals =
                (0 until 6).map { number ->
                    val program = fixture.caller.open().program
                    assertFailsWith<ApiCallException> {
                        fixture.api.chat(program, 0, "permit-desk", ask("[poison] kill"), address = fixture.addressOf(number % 3))
                    }.also {
                        waitFor("engines are up again") { fixture.engines("permit-desk").all { engine -> engine.isUp } }
                    }
                }
            val crashes = fixture.engines("permit-desk").sumOf { it.executedCalls.size }
            assertTrue(crashes in 1..2, "the request crashed $crashes engines")
            assertEquals(setOf("poisonRequest" to "notRun"), refusals.drop(2).map { it.reason() to it.outcome() }.toSet())
        }
    }

    /** Guards against an outage of the key-value service that stops programs or brings back an old configuration. */
    @Test
    fun `programs continue while the key-value service is down and no configuration reverts`() {
        FaultFixture().use { fixture ->
            val view = fixture.caller.open()
            val changed = fixture.changeModel(prefillRate = 9_000.0)
            fixture.cluster.platform.keyValue.outage = Outage.REFUSED
            repeat(RetryingCaller.TURNS) { fixture.caller.turn(view) }
            val refused = assertFailsWith<ApiCallException> { fixture.changeModel(prefillRate = 5.0) }
            assertEquals(503 to "notRun", refused.status to refused.outcome())
            fixture.cluster.platform.keyValue.outage = Outage.NONE
            waitFor("configuration can be changed again") { runCatching { fixture.changeModel(prefillRate = 9_500.0) }.isSuccess }
            waitFor("nodes have the change", CONFIG_LIMIT_MILLIS * SHARED_MACHINE_FACTOR) { fixture.prefillRates() == setOf(9_500.0) }
            assertTrue(fixture.cluster.running.all { it.state.config.headRevision > changed }, "a node went back before revision $changed")
            assertEquals(emptyList(), InvariantCheck(fixture.cluster.platform, listOf(view), fixture.api).problems())
        }
    }

    /** Guards against nodes that still use an old configuration after a change was accepted. */
    @Test
    fun `a configuration change is in force on all nodes within 1 s`() {
        FaultFixture().use { fixture ->
            val times =
                (1..10).map { number ->
                    val rate = 7_000.0 + number
                    fixture.changeModel(prefillRate = rate)
                    val begin = System.nanoTime()
                    waitFor("change $number is in force", CONFIG_LIMIT_MILLIS) { fixture.prefillRates() == setOf(rate) }
                    (System.nanoTime() - begin) / 1_000_000
                }
            println("configuration: in force on all nodes after $times ms")
        }
    }

    /** Guards against engine memory that stays pinned for programs that have ended. */
    @TestFactory
    fun `pins of ended programs are released`(): List<DynamicTest> =
        listOf(false, true).map { killOwner ->
            dynamicTest(if (killOwner) "the owner node was killed" else "the program ended") {
                FaultFixture(adapt = { it.copy(dispatch = it.dispatch.copy(pinSweepMillis = SWEEP_MILLIS, maxPinMillis = 600_000)) }).use {
                    it.checkPinsAreReleased(killOwner)
                }
            }
        }

    private fun FaultFixture.checkPinsAreReleased(killOwner: Boolean) {
        val view = caller.open()
        caller.turn(view)
        val program = ProgramId(view.program)
        engines("permit-desk").forEach { it.pin(program, 600_000) }
        assertTrue(engines("permit-desk").any { pinned(it).contains(program) }, "nothing was pinned")
        if (killOwner) cluster.kill(ownerOf(view.program))
        api.end(view.program)
        waitFor("pins are released", 2 * SWEEP_MILLIS * SHARED_MACHINE_FACTOR) {
            engines("permit-desk").none { pinned(it).contains(program) }
        }
    }

    private fun pinned(engine: EngineStandin): Set<ProgramId> = engine.pins().getOrElse { emptySet() }

    /** Guards against the answer "not run" for a call that ran: the caller would repeat it under another key and run it twice. */
    @TestFactory
    fun `a call that ran is never reported as not run`(): List<DynamicTest> =
        listOf(
            ToolFault.LOST_ANSWER,
            ToolFault.HANG,
            ToolFault.CRASH_AFTER_EXECUTION,
            ToolFault.ERROR,
            ToolFault.REJECT,
            ToolFault.BUSY,
        ).map {
            dynamicTest(it.name) { FaultFixture().use { fixture -> fixture.checkClaim(it) } }
        }

    private fun FaultFixture.checkClaim(fault: ToolFault) {
        val servers = cluster.platform.tools.filter { it.tool.value == "fee-charge" }
        servers.forEach { it.standin.fault = fault }
        val program = caller.open().program
        val end = runCatching { chargeOnce(program) }
        val executed = cluster.platform.executionsOf(ToolId("fee-charge")).size
        val claim = (end.exceptionOrNull() as? ApiCallException)?.outcome() ?: if (end.isSuccess) "run" else "none"
        assertTrue(executed <= 1, "executed $executed times")
        if (executed == 1) assertTrue(claim != "notRun", "ran, but the claim was $claim")
        if (claim == "run") assertEquals(1, executed, "not run, but the claim was $claim")
    }

    private fun FaultFixture.chargeOnce(program: String): JsonObject {
        val body =
            buildJsonObject {
                put("position", 0)
                put("tool", "fee-charge")
                put("arguments", """{"rials":1}""")
                put("repeatable", false)
                put("key", "once-$program")
                put("deadlineMillis", System.currentTimeMillis() + 3_000)
            }
        return api.post("/v1/programs/$program/tools", body)
    }

    private fun FaultFixture.prefillRates(): Set<Double> =
        cluster.running.mapTo(mutableSetOf()) { node ->
            node.state.config.models.values
                .single { it.model.value == "taller-llm" }
                .prefillTokensPerSecond
        }

    /** Changes a model record through the operator API and returns its new revision. */
    private fun FaultFixture.changeModel(prefillRate: Double): Long {
        val address = addressOf(0)
        val path = "/v1/admin/config/model/taller-llm"
        val before = operator.get(path, address).jsonObject
        val record = JsonObject(before.getValue("record").jsonObject + ("prefillTokensPerSecond" to JsonPrimitive(prefillRate)))
        val body = JsonObject(mapOf("revision" to before.getValue("revision"), "record" to record))
        val request = Request(Method.PUT, "http://$address$path").header("Authorization", "Bearer ${DevCluster.DEV_OPERATOR_TOKEN}")
        httpClient()(request.header("Content-Type", "application/json").body(body.toString())).use { response ->
            val text = response.bodyString()
            if (response.status.code != 200) throw ApiCallException(response.status.code, text)
            val answer =
                kotlinx.serialization.json.Json
                    .parseToJsonElement(text)
                    .jsonObject
            return answer
                .getValue("current")
                .jsonObject
                .getValue("revision")
                .jsonPrimitive.long
        }
    }

    private companion object {
        const val LEAVING_LIMIT_MILLIS = 3_000L
        const val CONFIG_LIMIT_MILLIS = 1_000L
        const val SWEEP_MILLIS = 500L

        /** Extends limits that start after an outage or a takeover, because tests run on a shared machine. */
        const val SHARED_MACHINE_FACTOR = 3
    }
}
