package lavendertrail.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import lavendertrail.model.CallId
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.model.StepError
import lavendertrail.ports.AttemptError
import lavendertrail.ports.CacheEventBatch
import lavendertrail.ports.ExportedCache
import lavendertrail.ports.GenerateRequest
import lavendertrail.ports.Generated
import lavendertrail.ports.ModelEngine
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.ServerLoad
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * An in-process simulation of a model engine, which [serveEngine] exposes over HTTP. [EngineSettings] determine how long
 * prefill and decoding take; answers are deterministic.
 *
 * ```kotlin
 * val engine = EngineStandin(EngineSettings(ServerId("assist-1"), listOf(ModelId("assist-model")), timeScale = 20.0))
 * engine.faults.busy = true
 * engine.crash()              // restarts after restartMillis with an empty cache
 * ```
 */
public class EngineStandin(
    public val settings: EngineSettings,
) : ModelEngine {
    public val faults: EngineFaults = EngineFaults()
    private val availabilityListeners = mutableListOf<(Boolean) -> Unit>()
    internal val core = EngineCore(settings, faults, ::handleCrash)

    /** False from a crash until the restart. */
    public val isUp: Boolean get() = core.isUp

    /** Changes at each restart. */
    public val incarnation: String get() = synchronized(core) { core.incarnation }

    public val totals: EngineTotals get() = synchronized(core) { core.totals }

    /** All calls that were started, including those before a crash, in the order they ended; running calls come last. */
    public val executedCalls: List<ExecutedCall> get() = core.executedCalls()

    /** If false, a crashed engine stays down until [restart]. */
    @Volatile
    public var restartsAutomatically: Boolean = true

    public fun crash(): Unit = core.crash()

    public fun restart() {
        if (core.isUp) return
        core.restart()
        availabilityListeners.forEach { it(false) }
    }

    override fun generate(
        request: GenerateRequest,
        onText: (String) -> Unit,
    ): Result<Generated, AttemptError> {
        val sink = QueueSink()
        if (request.deadlineMillis <=
            System.currentTimeMillis()
        ) {
            return attemptError(AttemptFailure.DEADLINE, "the deadline passed before the call")
        }
        if (request.resume) {
            core.resume(request.call, sink) ?: return attemptError(AttemptFailure.UNKNOWN_STREAM, "no stream of ${request.call}")
            return sink.awaitAnswer(request, onText)
        }
        return when (val submission = core.submit(request, sink)) {
            is Submission.Accepted, Submission.Hanging -> sink.awaitAnswer(request, onText)
            is Submission.Rejected -> attemptError(submission.failure, submission.message)
            Submission.Down -> attemptError(AttemptFailure.REJECTED, "the engine is down")
        }
    }

    override fun hasStream(call: CallId): Result<Boolean, StepError> = ifUp("stream lookup") { core.hasStream(call) }

    override fun cancel(call: CallId): Result<Unit, StepError> = ifUp("cancel call") { core.cancel(call) }

    override fun load(): Result<ServerLoad, StepError> = ifUp("load report") { core.loadReport() }

    override fun cacheEvents(afterSequence: Long): Result<CacheEventBatch, StepError> =
        ifUp("cache events") { synchronized(core) { core.memory.eventsAfter(afterSequence, core.incarnation) } }

    override fun pin(
        program: ProgramId,
        pinMillis: Long,
    ): Result<Unit, StepError> {
        val found = ifUp("pin cache") { synchronized(core) { core.memory.pin(program, pinMillis) } }
        return found.requireFound("pin cache", "nothing is cached for $program")
    }

    override fun release(program: ProgramId): Result<Unit, StepError> =
        ifUp("release cache") { synchronized(core) { core.memory.release(program) } }

    override fun pins(): Result<Set<ProgramId>, StepError> = ifUp("list pins") { synchronized(core) { core.memory.pinnedPrograms() } }

    override fun exportCache(program: ProgramId): Result<ExportedCache, StepError> {
        val exported = ifUp("export cache") { synchronized(core) { core.memory.export(program) } }
        return exported.requireValue("export cache", "nothing is cached for $program")
    }

    /** Blocks for the duration of the transfer. */
    override fun importCache(cache: ExportedCache): Result<Unit, StepError> {
        sleepSimulated(cache.tokens * 1_000 / settings.transferTokensPerSecond)
        return ifUp("import cache") { synchronized(core) { core.memory.import(cache) } }
    }

    /** Blocks for the duration of the load, while calls of the models loaded before continue. */
    override fun loadModel(
        model: ModelId,
        fencingToken: Long,
    ): Result<Unit, StepError> {
        if (!core.acceptsToken(fencingToken)) return Err(stepError("load model", "$STALE_TOKEN_MESSAGE: $fencingToken"))
        sleepSimulated(settings.modelLoadMillis.toDouble())
        return ifUp("load model") { core.addModel(model) }
    }

    override fun close(): Unit = core.close()

    /** Calls [listener] with true when the engine goes down and with false when it is up again. */
    internal fun addAvailabilityListener(listener: (Boolean) -> Unit) {
        availabilityListeners.add(listener)
    }

    private fun handleCrash() {
        availabilityListeners.forEach { it(true) }
        if (restartsAutomatically) {
            DelayScheduler.schedule(settings.realMillis(settings.restartMillis).coerceAtLeast(1), ::restartIfAutomatic)
        }
    }

    private fun restartIfAutomatic() {
        if (restartsAutomatically) restart()
    }

    private fun sleepSimulated(simulatedMillis: Double) {
        val nanos = settings.realNanos(simulatedMillis)
        if (nanos > 0) TimeUnit.NANOSECONDS.sleep(nanos)
    }

    private fun <T> ifUp(
        step: String,
        action: () -> T,
    ): Result<T, StepError> =
        when {
            !core.isUp -> Err(stepError(step, "the engine is down"))
            faults.hang -> Err(stepError(step, "the engine sent nothing within the idle limit"))
            else -> Ok(action())
        }

    private fun stepError(
        step: String,
        message: String,
    ): StepError = StepError(step, settings.server.value, message)

    private fun attemptError(
        failure: AttemptFailure,
        message: String,
    ): Result<Generated, AttemptError> = Err(AttemptError(failure, stepError("model call", message)))

    private fun Result<Boolean, StepError>.requireFound(
        step: String,
        message: String,
    ): Result<Unit, StepError> = andThen { found -> if (found) Ok(Unit) else Err(stepError(step, message)) }

    private fun <T : Any> Result<T?, StepError>.requireValue(
        step: String,
        message: String,
    ): Result<T, StepError> = andThen { value -> if (value == null) Err(stepError(step, message)) else Ok(value) }

    /**
     * Passes the answer from the engine's thread to the caller's thread. After the idle limit the stream is resumed once, as
     * the HTTP adapter does.
     */
    private inner class QueueSink : EngineSink {
        private val queue = LinkedBlockingQueue<Any>()

        override fun onText(text: String) {
            queue.add(text)
        }

        override fun onKeepAlive() {
            queue.add(Unit)
        }

        override fun onEnd(outcome: EngineOutcome) {
            queue.add(outcome)
        }

        fun awaitAnswer(
            request: GenerateRequest,
            onText: (String) -> Unit,
        ): Result<Generated, AttemptError> {
            var passedChars = 0
            val outcome =
                awaitEnd(request) {
                    passedChars += it.length
                    onText(it)
                } ?: QueueSink().awaitResumedAnswer(request, passedChars, onText)
            return when (outcome) {
                is EngineOutcome.Completed -> Ok(outcome.generated)
                is EngineOutcome.Failed -> attemptError(outcome.failure, outcome.message)
            }
        }

        private fun awaitResumedAnswer(
            request: GenerateRequest,
            passedChars: Int,
            onText: (String) -> Unit,
        ): EngineOutcome {
            val idle = EngineOutcome.Failed(AttemptFailure.IDLE, "nothing came for ${request.idleLimitMillis} ms")
            if (faults.hang) return idle
            core.resume(request.call, this) ?: return idle
            var charsToSkip = passedChars
            return awaitEnd(request) { text ->
                onText(text.drop(charsToSkip))
                charsToSkip = maxOf(0, charsToSkip - text.length)
            } ?: idle
        }

        /** Waits for the end of the stream. Null if nothing arrives within the idle limit. */
        private fun awaitEnd(
            request: GenerateRequest,
            onText: (String) -> Unit,
        ): EngineOutcome? {
            while (true) {
                val remainingMillis = request.deadlineMillis - System.currentTimeMillis()
                if (remainingMillis <= 0) return EngineOutcome.Failed(AttemptFailure.DEADLINE, "the deadline passed")
                when (val item = queue.poll(minOf(remainingMillis, request.idleLimitMillis), TimeUnit.MILLISECONDS)) {
                    null -> if (remainingMillis > request.idleLimitMillis) return null
                    is String -> onText(item)
                    is EngineOutcome -> return item
                }
            }
        }
    }

    internal companion object {
        const val STALE_TOKEN_MESSAGE = "the fencing token is older than one seen before"
    }
}
