package lavendertrail.standins

import lavendertrail.model.CallId
import lavendertrail.model.ModelId
import lavendertrail.ports.GenerateRequest
import lavendertrail.ports.Generated
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.ServerLoad
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread
import kotlin.random.Random

/** The result of submitting a call to an engine. */
internal sealed interface Submission {
    class Accepted(
        val call: EngineCall,
    ) : Submission

    /** The engine accepts the call and never sends anything. */
    data object Hanging : Submission

    data object Down : Submission

    class Rejected(
        val failure: AttemptFailure,
        val message: String,
    ) : Submission
}

/** Totals over all calls that an engine executed. */
public data class EngineTotals(
    public val calls: Long = 0,
    public val promptTokens: Long = 0,
    public val cachedTokens: Long = 0,
    public val generatedTokens: Long = 0,
)

/**
 * The state of one engine process and the thread that runs its steps. A crash clears the cache and the calls and assigns a
 * new incarnation. The list of executed calls survives the crash for tests. All state is guarded by this object's monitor.
 */
internal class EngineCore(
    private val settings: EngineSettings,
    private val faults: EngineFaults,
    private val onCrash: () -> Unit,
) : StepListener {
    private val random = Random(settings.seed * 31 + settings.server.value.hashCode())
    private val loop = StepLoop(settings, this, ::canAdmit)
    private val streams = LinkedHashMap<CallId, EngineCall>()
    private val executed = mutableListOf<ExecutedCall>()
    private var sequence = 0L
    private var stepEndNanos: Long? = null
    private var lastSweepNanos = 0L
    private var lastKeepAliveNanos = 0L
    private var snapshot: ServerLoad? = null
    private var snapshotAtNanos = 0L
    private var incarnationNumber = 0
    private var fencingToken = 0L
    private var loadedModels = settings.models.toList()

    val memory = EngineMemory(settings, random, System::currentTimeMillis)

    var incarnation: String = nextIncarnation()
        private set

    var totals = EngineTotals()
        private set

    @Volatile
    var isUp = true
        private set

    @Volatile
    private var closed = false

    private val stepThread = thread(isDaemon = true, name = "engine ${settings.server}") { runSteps() }

    fun submit(
        request: GenerateRequest,
        sink: EngineSink,
    ): Submission {
        if (!isUp) return Submission.Down
        if (faults.hang) return Submission.Hanging
        val prompt = EnginePrompt.of(request, settings.poisonMarker)
        return synchronized(this) { enqueue(request.copy(messages = emptyList(), chainHashes = emptyList()), prompt, sink) }
    }

    /** Subscribes [sink] to the stream of call [id], or returns null if there is no such stream. */
    @Synchronized
    fun resume(
        id: CallId,
        sink: EngineSink,
    ): EngineCall? {
        val call = streams[id] ?: return null
        call.attach(sink, faults.silentAfterChunks.takeIf { faults.silentOnResume })
        return call
    }

    @Synchronized
    fun hasStream(id: CallId): Boolean = id in streams

    @Synchronized
    fun cancel(id: CallId) {
        val call = streams[id] ?: return
        if (call.outcome == null) failCall(call, AttemptFailure.ERROR, "the call was cancelled")
        streams.remove(id)
    }

    @Synchronized
    fun loadReport(): ServerLoad {
        val now = System.nanoTime()
        val current = snapshot
        if (current != null && now - snapshotAtNanos < settings.realNanos(settings.loadLagMillis.toDouble())) return current
        memory.expirePins()
        snapshotAtNanos = now
        return ServerLoad(
            runningCalls = loop.running.size,
            waitingCalls = loop.waiting.size,
            waitingPromptTokens = loop.waiting.sumOf { it.prompt.totalTokens },
            usedCacheTokens = memory.usedTokens,
            capacityCacheTokens = settings.cacheCapacityTokens,
            leaving = faults.leaving,
            loadedModels = loadedModels,
        ).also { snapshot = it }
    }

    /** False if the engine checks fencing tokens and [token] is older than one seen before. */
    @Synchronized
    fun acceptsToken(token: Long): Boolean {
        if (settings.checksFencing && token < fencingToken) return false
        fencingToken = maxOf(fencingToken, token)
        return true
    }

    @Synchronized
    fun addModel(model: ModelId) {
        loadedModels = (loadedModels - model + model).takeLast(settings.maxLoadedModels)
        snapshot = null
    }

    @Synchronized
    fun executedCalls(): List<ExecutedCall> = executed + loop.running.map { it.toExecutedCall() }

    @Synchronized
    fun crash() {
        if (!isUp) return
        isUp = false
        onCrash()
        loop.clear().forEach { call ->
            if (call.startedNanos != 0L) executed.add(call.toExecutedCall())
            call.finish(EngineOutcome.Failed(AttemptFailure.CONNECTION_LOST, "the engine crashed"))
        }
        streams.clear()
        memory.clear()
        stepEndNanos = null
        snapshot = null
        loadedModels = settings.models.toList()
        incarnation = nextIncarnation()
    }

    @Synchronized
    fun restart() {
        isUp = true
    }

    fun close() {
        closed = true
        crash()
        LockSupport.unpark(stepThread)
    }

    override fun onAdmitted(call: EngineCall): Boolean {
        call.startedMillis = System.currentTimeMillis()
        call.startedNanos = System.nanoTime()
        if (call.prompt.isPoison) {
            executed.add(call.toExecutedCall())
            crash()
            call.finish(EngineOutcome.Failed(AttemptFailure.CONNECTION_LOST, "the engine crashed"))
            return false
        }
        call.cachedTokens = memory.admit(call)
        call.prefillTokensLeft = maxOf(1.0, (call.prompt.totalTokens - call.cachedTokens).toDouble())
        return true
    }

    override fun onPrefillComplete(call: EngineCall): Unit = memory.storePrompt(call)

    override fun onAnswerComplete(call: EngineCall) {
        memory.storeAnswer(call)
        if (call.request.pinMillis > 0) memory.pin(call.request.call.program, call.request.pinMillis)
        val generated =
            Generated(
                promptTokens = call.prompt.totalTokens.toLong(),
                cachedTokens = call.cachedTokens.toLong(),
                generatedTokens = call.generatedTokens.toLong(),
                engineMillis = (System.nanoTime() - call.startedNanos) / 1_000_000,
                load = loadReport(),
            )
        recordEnd(call, EngineOutcome.Completed(generated))
    }

    private fun enqueue(
        request: GenerateRequest,
        prompt: EnginePrompt,
        sink: EngineSink,
    ): Submission {
        if (!isUp) return Submission.Down
        if (request.model !in loadedModels) return Submission.Rejected(AttemptFailure.REJECTED, "model ${request.model} is not loaded")
        if (prompt.tokens.isEmpty()) return Submission.Rejected(AttemptFailure.REJECTED, "the prompt has no messages")
        if (faults.busy || loop.waiting.size >= settings.maxWaitingCalls) {
            return Submission.Rejected(AttemptFailure.BUSY, "the engine is at its limit")
        }
        val answer = AnswerText(prompt.chainHashes.last(), settings.seed)
        val answerTokens = prompt.requestedTokens ?: answer.sampleLength(settings.minAnswerTokens, settings.maxAnswerTokens)
        val call = EngineCall(request, sequence++, prompt, answerTokens.coerceIn(1, request.maxTokens.coerceAtLeast(1)), answer)
        call.attach(sink, faults.silentAfterChunks)
        streams.remove(request.call)
        streams[request.call] = call
        evictOldStream()
        loop.waiting.add(call)
        if (stepEndNanos == null) LockSupport.unpark(stepThread)
        return Submission.Accepted(call)
    }

    private fun canAdmit(
        call: EngineCall,
        isFirst: Boolean,
    ): Boolean {
        memory.expirePins()
        return isFirst || memory.hasRoomFor(call)
    }

    private fun runSteps() {
        while (!closed) {
            val waitNanos = synchronized(this) { advanceSteps(System.nanoTime()) }
            if (waitNanos == null) LockSupport.park(this) else LockSupport.parkNanos(this, maxOf(waitNanos, MIN_WAIT_NANOS))
        }
    }

    /** Applies the steps that have ended by [now]. Returns the nanoseconds until the next one ends, or null if none is planned. */
    private fun advanceSteps(now: Long): Long? {
        if (!isUp) return IDLE_WAIT_NANOS
        if (stepEndNanos == null) planStep(now)
        expireAndKeepAlive(now)
        while (true) {
            val end = stepEndNanos ?: return if (loop.isIdle) null else IDLE_WAIT_NANOS
            if (end > now) return end - now
            loop.applyStep()
            planStep(end)
        }
    }

    private fun planStep(startNanos: Long) {
        stepEndNanos = loop.planStep(faults.slowFactor)?.let { startNanos + settings.realNanos(it) }
    }

    /** Fails calls whose deadline has passed and sends keep-alives, both at intervals. */
    private fun expireAndKeepAlive(now: Long) {
        if (now - lastSweepNanos < SWEEP_INTERVAL_NANOS) return
        lastSweepNanos = now
        val nowMillis = System.currentTimeMillis()
        (loop.running + loop.waiting).filter { it.request.deadlineMillis <= nowMillis }.forEach {
            failCall(it, AttemptFailure.DEADLINE, "the deadline passed")
        }
        if (now - lastKeepAliveNanos < KEEP_ALIVE_INTERVAL_NANOS) return
        lastKeepAliveNanos = now
        loop.running.forEach { it.sendKeepAlive() }
        loop.waiting.forEach { it.sendKeepAlive() }
    }

    private fun failCall(
        call: EngineCall,
        failure: AttemptFailure,
        message: String,
    ) {
        loop.remove(call)
        val outcome = EngineOutcome.Failed(failure, message)
        if (call.startedNanos == 0L) call.finish(outcome) else recordEnd(call, outcome)
    }

    private fun recordEnd(
        call: EngineCall,
        outcome: EngineOutcome,
    ) {
        memory.releaseHolds(call)
        call.finish(outcome)
        executed.add(call.toExecutedCall())
        totals =
            EngineTotals(
                calls = totals.calls + 1,
                promptTokens = totals.promptTokens + call.prompt.totalTokens,
                cachedTokens = totals.cachedTokens + call.cachedTokens,
                generatedTokens = totals.generatedTokens + call.generatedTokens,
            )
    }

    private fun evictOldStream() {
        if (streams.size <= MAX_KEPT_STREAMS) return
        val oldest = streams.values.firstOrNull { it.outcome != null } ?: return
        streams.remove(oldest.request.call)
    }

    private fun nextIncarnation(): String = "${settings.server}-${++incarnationNumber}-${random.nextInt(0x10000).toString(16)}"

    private companion object {
        /** The shortest wait between two wake-ups. Steps that are shorter are applied several at a time. */
        const val MIN_WAIT_NANOS = 50_000L

        /** Interval at which admission is retried while waiting for cache memory or for a restart. */
        const val IDLE_WAIT_NANOS = 20_000_000L
        const val SWEEP_INTERVAL_NANOS = 50_000_000L

        /** A third of the shortest stream idle limit in use, which is 3 s. */
        const val KEEP_ALIVE_INTERVAL_NANOS = 1_000_000_000L

        /** An ended stream can be resumed until this many newer streams exist. */
        const val MAX_KEPT_STREAMS = 1_000
    }
}
