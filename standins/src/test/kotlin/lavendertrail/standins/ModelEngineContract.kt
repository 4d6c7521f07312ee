package lavendertrail.standins

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import lavendertrail.model.Message
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId
import lavendertrail.ports.AttemptError
import lavendertrail.ports.GenerateRequest
import lavendertrail.ports.Generated
import lavendertrail.ports.ModelEngine
import lavendertrail.reducer.AttemptFailure
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** The contract of every [ModelEngine], including how it reports faults of the underlying engine. */
abstract class ModelEngineContract {
    protected val settings =
        EngineSettings(
            server = ServerId("assist-1"),
            models = listOf(TEST_MODEL),
            timeScale = 20.0,
            loadLagMillis = 0,
            cacheEventLagMillis = 0,
            cacheEventLossPercent = 0,
            modelLoadMillis = 1_000,
            restartMillis = 6_000,
        )

    protected abstract fun withEngine(
        settings: EngineSettings = this.settings,
        action: (EngineStandin, ModelEngine) -> Unit,
    )

    /** Guards against answers that differ between two runs of the same prompt, which would break resuming on another engine. */
    @Test
    fun `the answer depends on the prompt alone and usage counts its tokens`() =
        withEngine { standin, engine ->
            val (text, done) = engine.answer(testRequest(TEST_MODEL, "first", "second [answer-tokens=37]"))
            val (again, _) = engine.answer(testRequest(TEST_MODEL, "first", "second [answer-tokens=37]"))
            val (other, _) = engine.answer(testRequest(TEST_MODEL, "First", "second [answer-tokens=37]"))
            assertEquals(text, again)
            assertTrue(text != other)
            assertEquals(37, textTokens(text))
            assertEquals(37, done.generatedTokens)
            assertEquals((2L + 4) + (7 + 4), done.promptTokens)
            assertEquals(3, standin.totals.calls)
            assertEquals(10, engine.answer(testRequest(TEST_MODEL, "x [answer-tokens=37]").copy(maxTokens = 10)).second.generatedTokens)
        }

    /** Guards against cache misses on a program's next prompt, which starts with its previous prompt and the answer to it. */
    @Test
    fun `the next prompt of a program is cached up to its new message`() =
        withEngine { _, engine ->
            val first = testRequest(TEST_MODEL, "a".repeat(400))
            val (text, done) = engine.answer(first)
            assertEquals(0, done.cachedTokens)
            val answer = Message("assistant", text)
            val second = engine.answer(first.copy(messages = first.messages + answer + Message("user", "go on"))).second
            assertEquals(done.promptTokens + messageTokens(answer), second.cachedTokens)
            val changed = engine.answer(first.copy(messages = listOf(Message("user", "b"), answer))).second
            assertEquals(0, changed.cachedTokens)
        }

    /** Guards against a replay that differs from the original stream or ends early. */
    @Test
    fun `a stream can be resumed while it runs and after it ended`() =
        withEngine { standin, engine ->
            val request = testRequest(TEST_MODEL, "x [answer-tokens=200]")
            var early = ""
            val first = thread { early = engine.answer(request).first }
            awaitTrue("the stream is known") { engine.hasStream(request.call).get() == true }
            val (running, _) = engine.answer(request.copy(resume = true))
            first.join()
            val (ended, done) = engine.answer(request.copy(resume = true))
            assertEquals(listOf(early, early), listOf(running, ended))
            assertEquals(200, done.generatedTokens)
            assertEquals(1, standin.executedCalls.size)
            val unknown = request.copy(call = request.call.copy(position = 9), resume = true)
            assertEquals(AttemptFailure.UNKNOWN_STREAM, engine.generate(unknown) {}.failure())
            assertEquals(false, engine.hasStream(unknown.call).get())
        }

    private data class Case(
        val name: String,
        val failure: AttemptFailure,
        val executions: Int,
        val change: (GenerateRequest) -> GenerateRequest = { it },
        val cause: (EngineStandin) -> Unit = {},
    )

    /** Guards against a wrong failure kind, which would make the caller retry, blame or charge wrongly. */
    @Test
    fun `each fault is reported as its failure kind`() {
        listOf(
            Case("busy", AttemptFailure.BUSY, 0) { it.faults.busy = true },
            Case("hang", AttemptFailure.IDLE, 0) { it.faults.hang = true },
            Case("silent stream", AttemptFailure.IDLE, 1) {
                it.faults.silentAfterChunks = 3
                it.faults.silentOnResume = true
            },
            Case("down", AttemptFailure.REJECTED, 0) { it.crash() },
            Case("unknown model", AttemptFailure.REJECTED, 0, { it.copy(model = ModelId("other")) }),
            Case("poison", AttemptFailure.CONNECTION_LOST, 1, { it.copy(messages = it.messages + Message("user", "[poison]")) }),
            Case("crash while running", AttemptFailure.CONNECTION_LOST, 1) { it.whenCallRuns { crash() } },
            Case("deadline", AttemptFailure.DEADLINE, 1, { it.copy(deadlineMillis = System.currentTimeMillis() + 500) }),
            Case("past deadline", AttemptFailure.DEADLINE, 0, { it.copy(deadlineMillis = System.currentTimeMillis() - 1) }),
            Case("cancelled", AttemptFailure.ERROR, 1) { it.whenCallRuns { cancel(TEST_CALL) } },
        ).forEach { case ->
            withEngine { standin, engine ->
                case.cause(standin)
                if (case.name == "down") Thread.sleep(100)
                val request = testRequest(TEST_MODEL, "x [answer-tokens=1000]").copy(idleLimitMillis = 500)
                val error = assertNotNull(engine.generate(case.change(request)) {}.getError(), case.name)
                awaitTrue(case.name) { standin.executedCalls.size >= case.executions }
                assertEquals("${case.name}: ${case.failure}", "${case.name}: ${error.failure}", error.error.message)
                assertEquals(case.executions, standin.executedCalls.size, case.name)
                assertTrue(error.error.step.isNotBlank() && error.error.peer == "assist-1")
            }
        }
    }

    private fun EngineStandin.whenCallRuns(action: EngineStandin.() -> Unit) {
        thread {
            awaitTrue("a call runs") { executedCalls.isNotEmpty() }
            action()
        }
    }

    /** Guards against giving up on an engine of which only the connection has stalled, and against text delivered twice. */
    @Test
    fun `a stalled stream is resumed over a new connection`() =
        withEngine { standin, engine ->
            val request = testRequest(TEST_MODEL, "x [answer-tokens=300]").copy(idleLimitMillis = 400)
            val expected = engine.answer(request).first
            standin.faults.silentAfterChunks = 5
            val (text, done) = engine.answer(request)
            assertEquals(expected, text)
            assertEquals(300, done.generatedTokens)
            assertEquals(2, standin.executedCalls.size)
        }

    /** Guards against a queue that ignores priority, and against queued calls that run into the idle limit. */
    @Test
    fun `waiting calls run by priority and are kept alive`() =
        withEngine(settings.copy(maxRunningCalls = 1, timeScale = 4.0)) { standin, engine ->
            val requests = listOf(5, 9, 1).mapIndexed { index, priority -> requestWithPriority(index, priority) }
            val threads =
                requests.map { request ->
                    Thread.sleep(100)
                    thread { engine.answer(request) }
                }
            threads.forEach { it.join() }
            assertEquals(listOf(0, 2, 1), standin.executedCalls.map { it.call.position })
        }

    private fun requestWithPriority(
        position: Int,
        priority: Int,
    ): GenerateRequest =
        testRequest(TEST_MODEL, "x [answer-tokens=300]").copy(
            call = TEST_CALL.copy(position = position),
            priority = priority,
            idleLimitMillis = 1_300,
        )

    /** Guards against a restarted engine that reports the cache of its previous incarnation. */
    @Test
    fun `a restarted engine has a new incarnation and an empty cache`() =
        withEngine { standin, engine ->
            val request = testRequest(TEST_MODEL, "x [answer-tokens=5]")
            engine.answer(request)
            val before = engine.cacheEvents(0).getOrElse { error(it) }
            assertEquals(listOf(true), before.events.map { it.stored })
            assertEquals(1L to 1L, before.firstSequence to before.lastSequence)
            standin.crash()
            awaitTrue("the engine restarts") { engine.load().get() != null }
            assertEquals(0, engine.load().getOrElse { error(it) }.usedCacheTokens)
            assertTrue(engine.cacheEvents(before.lastSequence).getOrElse { error(it) }.incarnation != before.incarnation)
            assertEquals(0, engine.answer(request).second.cachedTokens)
        }

    /** Guards against undetected event loss, after which a reader assumes a cache content that is not there. */
    @Test
    fun `lost cache events leave a gap in the sequence`() =
        withEngine(settings.copy(cacheEventLossPercent = 30)) { _, engine ->
            engine.answer(testRequest(TEST_MODEL, *Array(60) { "message $it" }))
            var after = 0L
            var gaps = 0
            var events = 0
            while (true) {
                val batch = engine.cacheEvents(after).getOrElse { error(it) }
                if (batch.events.isEmpty()) break
                assertEquals(batch.events.size.toLong(), batch.lastSequence - batch.firstSequence + 1)
                if (batch.firstSequence != after + 1) gaps++
                events += batch.events.size
                after = batch.lastSequence
            }
            assertTrue(gaps > 0 && events in 20..59, "gaps $gaps, events $events")
        }

    /** Guards against evicting a pinned prompt while its program pauses, and against pins that never expire. */
    @Test
    fun `a pin protects a prompt until it is released or expires`() =
        withEngine(settings.copy(cacheCapacityTokens = 1_000)) { _, engine ->
            val pinned = testRequest(TEST_MODEL, "p".repeat(1_600) + "[answer-tokens=2]")
            val program = pinned.call.program
            assertNotNull(engine.pin(program, 60_000).getError(), "nothing to pin yet")
            engine.answer(pinned)
            engine.pin(program, 60_000).getOrElse { error(it) }
            assertEquals(setOf(program), engine.pins().get())
            engine.fillCache()
            assertTrue(engine.answer(pinned).second.cachedTokens > 0, "pinned prompt")
            engine.release(program).getOrElse { error(it) }
            assertEquals(emptySet(), engine.pins().get())
            engine.fillCache()
            assertEquals(0, engine.answer(pinned.copy(pinMillis = 100)).second.cachedTokens, "released prompt")
            awaitTrue("the pin of the call expires") { engine.pins().get()?.isEmpty() == true }
        }

    private fun ModelEngine.fillCache() {
        repeat(4) { number ->
            val other = ProgramId("batinah-001-fill$number")
            answer(testRequest(TEST_MODEL, "$number".repeat(1_200) + "[answer-tokens=2]").copy(call = TEST_CALL.copy(program = other)))
        }
    }

    @Test
    fun `a cache can be moved to another engine`() =
        withEngine { _, from ->
            withEngine { _, to ->
                val request = testRequest(TEST_MODEL, "a".repeat(4_000), "b [answer-tokens=2]")
                assertNotNull(from.exportCache(request.call.program).getError())
                val prompt = from.answer(request).second.promptTokens
                val exported = from.exportCache(request.call.program).getOrElse { error(it) }
                assertEquals(prompt, exported.tokens)
                to.importCache(exported).getOrElse { error(it) }
                assertEquals(prompt, to.answer(request).second.cachedTokens)
            }
        }

    /** Guards against two controllers that alternately load different models. */
    @Test
    fun `an old fencing token is rejected only where tokens are checked`() {
        listOf(true, false).forEach { checks ->
            withEngine(settings.copy(checksFencing = checks)) { _, engine ->
                engine.loadModel(ModelId("b"), 7).getOrElse { error(it) }
                assertEquals(listOf(ModelId("b")), engine.load().getOrElse { error(it) }.loadedModels)
                assertEquals(checks, engine.loadModel(ModelId("c"), 6).getError() != null)
                assertEquals(
                    ModelId(if (checks) "b" else "c"),
                    engine
                        .load()
                        .getOrElse { error(it) }
                        .loadedModels
                        .single(),
                )
            }
        }
    }

    @Test
    fun `the load report has running and waiting calls and the leaving flag`() =
        withEngine(settings.copy(maxRunningCalls = 1, timeScale = 5.0)) { standin, engine ->
            val threads = (0..2).map { requestWithPriority(it, 1) }.map { thread { engine.generate(it) {} } }
            awaitTrue("one runs and two wait") {
                engine.load().getOrElse { error(it) }.let { it.runningCalls == 1 && it.waitingCalls == 2 && it.waitingPromptTokens > 0 }
            }
            standin.faults.leaving = true
            assertTrue(engine.load().getOrElse { error(it) }.leaving)
            (0..2).forEach { engine.cancel(TEST_CALL.copy(position = it)).getOrElse { error(it) } }
            threads.forEach { it.join() }
            awaitTrue("nothing runs") { engine.load().getOrElse { error(it) }.let { it.runningCalls == 0 && it.waitingCalls == 0 } }
        }

    protected fun ModelEngine.answer(request: GenerateRequest): Pair<String, Generated> {
        val text = StringBuilder()
        val done = generate(request) { text.append(it) }.getOrElse { error("${it.failure}: ${it.error}") }
        return text.toString() to done
    }

    private fun Result<Generated, AttemptError>.failure(): AttemptFailure? = getError()?.failure

    protected fun awaitTrue(
        what: String,
        condition: () -> Boolean,
    ) {
        val start = System.currentTimeMillis()
        while (!condition()) {
            check(System.currentTimeMillis() - start < 5_000) { "not within 5 s: $what" }
            Thread.sleep(2)
        }
    }
}
