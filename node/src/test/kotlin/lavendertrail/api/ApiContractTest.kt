package lavendertrail.api

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import lavendertrail.dev.ApiCallException
import lavendertrail.dev.ApiCaller
import lavendertrail.dev.DevCluster
import lavendertrail.dev.DevOptions
import lavendertrail.history.sha256Hex
import lavendertrail.http.httpClient
import lavendertrail.model.Message
import lavendertrail.model.ToolId
import lavendertrail.standins.PlatformPresets
import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import java.util.SplittableRandom
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Contract of the HTTP API for callers and operators, tested over sockets with a cluster of three nodes. */
class ApiContractTest {
    private val http = httpClient()
    private val caller = ApiCaller(cluster::addresses, "barakah-desk-token", http)
    private val otherCaller = ApiCaller(cluster::addresses, "valdivieso-taller-token", http)
    private val operator = ApiCaller(cluster::addresses, DevCluster.DEV_OPERATOR_TOKEN, http)

    private fun send(
        method: Method,
        path: String,
        body: String = "",
        token: String? = "barakah-desk-token",
    ): Pair<Int, String> {
        val plain = Request(method, "http://${cluster.addresses.first()}$path").body(body)
        val request = if (token == null) plain else plain.header("Authorization", "Bearer $token")
        return http(request).use { it.status.code to it.bodyString() }
    }

    private fun fetchBill(address: String): String {
        val request =
            Request(
                Method.GET,
                "http://$address/v1/admin/bill",
            ).header("Authorization", "Bearer ${DevCluster.DEV_OPERATOR_TOKEN}")
        return http(request).use { it.bodyString() }
    }

    private fun userMessage(text: String) = listOf(Message("user", text))

    private fun openProgram() = caller.open("barakah-desk", "permit-renewal")

    @Test
    fun `invalid requests get a status and a reason, and nothing runs`() {
        val program = openProgram()
        val openOther = """{"account":"barakah-night","assistant":"permit-renewal"}"""
        val extension = """{"program":"$program","position":0}"""
        val chat = """{"model":"permit-desk","messages":[{"role":"user","content":"x"}],"lavendertrail":$extension}"""
        val cases =
            listOf(
                Triple(send(Method.POST, "/v1/programs", "", null), 401, "notAllowed"),
                Triple(send(Method.POST, "/v1/programs", "{}", "wrong"), 401, "notAllowed"),
                Triple(send(Method.POST, "/v1/programs", ""), 400, "badRequest"),
                Triple(send(Method.POST, "/v1/programs", "{"), 400, "badRequest"),
                Triple(send(Method.POST, "/v1/programs", "[".repeat(5_000)), 400, "badRequest"),
                Triple(send(Method.POST, "/v1/programs", """{"account":"barakah-desk","assistant":"nobody"}"""), 400, "badRequest"),
                Triple(
                    send(Method.POST, "/v1/programs", """{"account":"barakah-night","assistant":"permit-renewal"}"""),
                    403,
                    "notAllowed",
                ),
                Triple(
                    send(Method.POST, "/v1/programs", """{"account":"barakah-desk","assistant":"permit-renewal","x":1}"""),
                    400,
                    "badRequest",
                ),
                Triple(send(Method.POST, "/v1/chat/completions", chat.replace("\"user\"", "\"boss\"")), 400, "badRequest"),
                Triple(send(Method.POST, "/v1/chat/completions", chat.replace(program, "dev-fff-x")), 400, "badRequest"),
                Triple(send(Method.POST, "/v1/chat/completions", chat.replace(program, "dev-001-unknown")), 404, "unknownProgram"),
                Triple(send(Method.POST, "/v1/chat/completions", chat.replace("\"position\":0", "\"position\":-1")), 400, "badRequest"),
                Triple(
                    send(Method.POST, "/v1/programs/$program/tools", """{"position":0,"tool":"fee-charge","arguments":{}}"""),
                    400,
                    "badRequest",
                ),
                Triple(send(Method.GET, "/v1/programs/$program/calls/0"), 404, "badRequest"),
                Triple(send(Method.GET, "/v1/none"), 404, "badRequest"),
                Triple(send(Method.DELETE, "/v1/programs"), 405, "badRequest"),
                Triple(send(Method.POST, "/v1/programs", "x".repeat(MAX_BODY_BYTES + 1_000)), 413, "badRequest"),
                Triple(send(Method.GET, "/v1/admin/dump"), 401, "notAllowed"),
            )
        cases.forEach { (answer, status, reason) ->
            assertEquals(status, answer.first, answer.second)
            val refusal = Json.parseToJsonElement(answer.second).jsonObject
            assertEquals(
                listOf("notRun", reason),
                listOf("outcome", "reason").map { refusal.getValue(it).jsonPrimitive.content },
                answer.second,
            )
        }
        assertEquals(1, (caller.history(program).jsonObject.getValue("records") as kotlinx.serialization.json.JsonArray).size)
    }

    @Test
    fun `a program of another account can't be accessed`() {
        val program = openProgram()
        caller.chat(program, 0, "permit-desk", userMessage("secret"))
        val attempts =
            listOf<() -> Any>(
                { otherCaller.history(program) },
                { otherCaller.end(program) },
                { otherCaller.openChild(program, 1, "parts-helper") },
                { otherCaller.chat(program, 0, "permit-desk", userMessage("secret")) },
                { otherCaller.get("/v1/programs/$program/calls/0") },
            )
        attempts.forEach { attempt -> assertEquals(403, assertFailsWith<ApiCallException> { attempt() }.status) }
    }

    @Test
    fun `a position submitted to three nodes concurrently runs once and all get the same answer`() {
        val program = openProgram()
        val answers =
            cluster.addresses
                .map { address ->
                    CompletableFuture.supplyAsync { caller.chat(program, 0, "permit-desk", userMessage("once"), address = address) }
                }.map { it.get() }
        assertEquals(1, answers.map { it.text }.toSet().size)
        answers.forEach { assertEquals(it.textSha256, sha256Hex(it.text)) }
        val executed =
            cluster.platform.engines
                .flatMap { it.standin.executedCalls }
                .count { it.call.program.value == program }
        assertEquals(1, executed)
        val other = assertFailsWith<ApiCallException> { caller.chat(program, 0, "permit-desk", userMessage("other")) }
        assertEquals(409, other.status)
    }

    @Test
    fun `an open key identifies the same program at every node`() {
        val programs =
            cluster.addresses.map {
                ApiCaller({ listOf(it) }, "barakah-desk-token", http).open("barakah-desk", "permit-renewal", "key-1")
            }
        assertEquals(1, programs.toSet().size)
        assertNotEquals(openProgram(), openProgram())
    }

    @Test
    fun `a stream resumes after the last event that the caller received`() {
        val program = openProgram()
        val whole = caller.chat(program, 0, "permit-desk", userMessage("resume"))
        val bytes = whole.text.toByteArray()
        listOf(0, 5, bytes.size).forEach { from ->
            val request =
                Request(Method.GET, "http://${cluster.addresses.last()}/v1/programs/$program/calls/0")
                    .header("Authorization", "Bearer barakah-desk-token")
                    .header("Last-Event-ID", "$from")
            val lines = http(request).use { it.bodyString() }.lines().filter { it.startsWith("data:") }
            val text = lines.joinToString("") { line -> deltaContent(Json.parseToJsonElement(line.removePrefix("data: ")).jsonObject) }
            assertEquals(bytes.decodeToString(from, bytes.size), text)
            assertContains(lines.last(), "\"usage\"")
        }
    }

    private fun deltaContent(event: JsonObject): String {
        val choice = (event.getValue("choices") as kotlinx.serialization.json.JsonArray).first().jsonObject
        return choice["delta"]
            ?.jsonObject
            ?.get("content")
            ?.jsonPrimitive
            ?.content
            .orEmpty()
    }

    @Test
    fun `a stream that takes longer than the read timeout of the server is not closed`() {
        val program = caller.open("barakah-desk", "harbour-helper")
        val startNanos = System.nanoTime()
        val answer = caller.chat(program, 0, "assist-model", userMessage("long"), maxTokens = 300)
        assertEquals(answer.textSha256, sha256Hex(answer.text))
        val streamMillis = (System.nanoTime() - startNanos) / 1_000_000
        println("stream of ${answer.generatedTokens} tokens took $streamMillis ms, read timeout $READ_TIMEOUT_MILLIS ms")
    }

    @Test
    fun `the second of two configuration changes at one revision gets the current record, and changes are audited`() {
        val record = """{"schemaVersion":1,"owner":"barakah","region":"dev","weight":3}"""
        val before = operator.get("/v1/admin/config/owner/barakah").jsonObject
        val revision = before.getValue("revision").jsonPrimitive.long
        val body = Json.parseToJsonElement("""{"revision":$revision,"record":$record}""").jsonObject
        val statuses = (1..2).map { send(Method.PUT, "/v1/admin/config/owner/barakah", body.toString(), DevCluster.DEV_OPERATOR_TOKEN) }
        assertEquals(listOf(200, 409), statuses.map { it.first })
        assertContains(statuses.last().second, "\"weight\":3")
        val history = operator.get("/v1/admin/config/owner/barakah/history").toString()
        assertContains(history, "\"operator\":\"dev\"")
        assertContains(history, "\"beforeRevision\":$revision")
        val deadlineNanos = System.nanoTime() + 5_000_000_000
        while (cluster.running.any { node ->
                node.state.config.owners.values
                    .none { it.weight == 3 }
            }
        ) {
            assertTrue(System.nanoTime() < deadlineNanos, "the change has not been applied at all nodes after 5 s")
            Thread.sleep(10)
        }
        val bad = body.toString().replace("\"weight\":3", "\"weight\":\"many\"")
        assertEquals(400, send(Method.PUT, "/v1/admin/config/owner/barakah", bad, DevCluster.DEV_OPERATOR_TOKEN).first)
    }

    @Test
    fun `operator routes and monitoring routes respond`() {
        val program = openProgram()
        caller.tool(program, 0, "fee-charge", "{}", key = "admin-$program")
        listOf(
            "dump",
            "top",
            "unsettled",
            "poison",
            "config",
            "config-status",
            "explain/$program",
        ).forEach { operator.get("/v1/admin/$it") }
        val bills = cluster.addresses.map { fetchBill(it) }
        assertEquals(2, bills.count { "\"program\":\"$program\"" in it }, "records of a program should be in both journal copies")
        assertTrue(bills.none { "secret" in it }, "a bill must not contain call contents")
        assertEquals(200, send(Method.GET, "/healthz", token = null).first)
        assertEquals(200, send(Method.GET, "/readyz", token = null).first)
        assertContains(send(Method.GET, "/metrics", token = null).second, "lavendertrail_runner_decisions")
        assertEquals(1, cluster.platform.executionsOf(ToolId("fee-charge")).count { it.key == "admin-$program" })
    }

    /** Guards against inputs that cause a server error, an error response without JSON, or a node that no longer responds. */
    @Test
    fun `random requests never give a server error`() {
        val random = SplittableRandom(SEED)
        val program = openProgram()
        val seeds =
            listOf(
                "/v1/programs" to
                    """{"account":"barakah-desk","assistant":"permit-renewal","budget":{"maxTokens":1,"maxCostMicros":1,"maxTurns":1,"maxWallMillis":1}}""",
                "/v1/chat/completions" to
                    """{"model":"permit-desk","messages":[{"role":"user","content":"x"}],"max_tokens":4,"stream":true,"lavendertrail":{"program":"$program","position":0}}""",
                "/v1/programs/$program/tools" to """{"position":0,"tool":"tide-table","arguments":{"a":[1,2]},"repeatable":true}""",
                "/v1/programs/$program/tool-results" to """{"position":0,"tool":"t","content":"c"}""",
                "/v1/programs/$program/subagents" to """{"number":1,"assistant":"harbour-helper"}""",
                "/v1/programs/$program/calls/0" to "",
                "/v1/admin/settle" to """{"program":"$program","position":0,"outcome":"run"}""",
            )
        repeat(FUZZ_REQUESTS) { number ->
            val (path, body) = seeds[random.nextInt(seeds.size)]
            val method = listOf(Method.POST, Method.POST, Method.POST, Method.GET, Method.PUT)[random.nextInt(5)]
            val token = listOf("barakah-desk-token", "barakah-desk-token", DevCluster.DEV_OPERATOR_TOKEN, "x", null)[random.nextInt(5)]
            val (status, answer) =
                send(
                    method,
                    "/" + random.mutate(path, PATH_CHARS).trimStart('/'),
                    random.mutate(body, BODY_CHARS),
                    token,
                )
            val context = "request $number with seed $SEED: $method $path"
            assertTrue(status != 500, "$context returned $status: $answer")
            if (status >= 400) assertContains(answer, "\"reason\"", message = context)
        }
        assertEquals(200, send(Method.GET, "/healthz", token = null).first)
        assertEquals(0, cluster.running.sumOf { it.runnerFaults }, "events were dropped because the reducer threw an exception")
    }

    private fun SplittableRandom.mutate(
        text: String,
        chars: String,
    ): String {
        val result = StringBuilder(text)
        repeat(nextInt(4)) {
            if (result.isEmpty()) return@repeat
            val at = nextInt(result.length)
            when (nextInt(3)) {
                0 -> result.setCharAt(at, chars[nextInt(chars.length)])
                1 -> result.deleteCharAt(at)
                else -> result.insert(at, chars[nextInt(chars.length)])
            }
        }
        return result.toString()
    }

    private companion object {
        const val SEED = 20_261_204L
        const val FUZZ_REQUESTS = 400
        const val READ_TIMEOUT_MILLIS = 1_000

        /** Small, because a client that is still sending a large body may miss the response when the connection closes. */
        const val MAX_BODY_BYTES = 16_384
        const val PATH_CHARS = "/abcz019.-_~"
        const val BODY_CHARS = "{}[]\",:0123456789-eE. \\u\u0000\u00e9\u20ac"

        lateinit var cluster: DevCluster

        /** The time scale is slow enough for a long answer to take longer than the read timeout. */
        @BeforeAll
        @JvmStatic
        fun start() {
            val options =
                DevOptions(platform = PlatformPresets.small(timeScale = 2.0)) {
                    it.copy(
                        api =
                            it.api.copy(
                                maxBodyBytes = MAX_BODY_BYTES.toLong(),
                                readTimeoutMillis = READ_TIMEOUT_MILLIS,
                                defaultDeadlineMillis = 20_000,
                            ),
                    )
                }
            cluster = DevCluster(options)
            cluster.start()
        }

        @AfterAll
        @JvmStatic
        fun stop(): Unit = cluster.close()
    }
}
