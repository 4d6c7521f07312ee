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

/** What became of a call that was sent to an engine. */
internal sealed interface Submission {
    class Accepted(
        val call: EngineCall,
    ) : Submission

    /** The engine sends nothing, ever. */
    data object Silent : Submission

    data object Down : Submission

    class Rejected(
        val failure: AttemptFailure,
        val message: String,
    ) : Submission
}

/** Sums over all calls that an engine executed. */
public data class EngineTotals(
    public val calls: Long = 0,
    public val promptTokens: Long = 0,
    public val cachedTokens: Long = 0,
    public val generatedTokens: Long = 0,
)

/**
 * The state of one engine process and the thread that runs its steps. A crash replaces nothing but the contents: cache,
 * calls and incarnation; the ledger of executed calls survives for tests. All state is guarded by this object's monitor.
 */
internal class EngineCore(
    private val settings: EngineSettings,
    private val faults: EngineFaults,
    private val onCrash: () -> Unit,
) : StepListener {
    private val random = Random(settings.seed * 31 + settings.server.value.hashCode())
    private val loop = StepLoop(settings, this, ::mayAdmit)
    private val streams = LinkedHashMap<CallId, EngineCall>()
    private val executed = mutableListOf<ExecutedCall>()
    private var sequence = 0L
    private var stepEndNanos: Long? = null
    private var sweptAtNanos = 0L
    private var keptAliveAtNanos = 0L
    private var snapshot: ServerLoad? = null
    private var snapshotAtNanos = 0L
    private var incarnationNumber = 0
    private var fencingToken = 0L
    private var loaded = settings.models.toList()

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

    private val stepper = thread(isDaemon = true, name = "engine ${settings.server}") { run() }

    fun submit(
        request: GenerateRequest,
        sink: EngineSink,
    ): Submission {
        if (!isUp) return Submission.Down
        if (faults.hang) return Submission.Silent
        val prompt = EnginePrompt.of(request, settings.poisonMarker)
        return synchronized(this) { enqueue(request.copy(messages = emptyList(), chainHashes = emptyList()), prompt, sink) }
    }

    /** Null where the stream is not known. */
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
        if (call.end == null) fail(call, AttemptFailure.ERROR, "the call was cancelled")
        streams.remove(id)
    }

    @Synchronized
    fun load(): ServerLoad {
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
            loadedModels = loaded,
        ).also { snapshot = it }
    }

    /** False where the token is older than one that was seen and tokens are checked. */
    @Synchronized
    fun acceptsToken(token: Long): Boolean {
        if (settings.checksFencing && token < fencingToken) return false
        fencingToken = maxOf(fencingToken, token)
        return true
    }

    @Synchronized
    fun addModel(model: ModelId) {
        loaded = (loaded - model + model).takeLast(settings.maxLoadedModels)
        snapshot = null
    }

    @Synchronized
    fun ledger(): List<ExecutedCall> = executed + loop.running.map { it.toExecuted() }

    @Synchronized
    fun crash() {
        if (!isUp) return
        isUp = false
        onCrash()
        loop.clear().forEach { call ->
            if (call.startedNanos != 0L) executed.add(call.toExecuted())
            call.finish(EngineEnd.Failed(AttemptFailure.CONNECTION_LOST, "the engine crashed"))
        }
        streams.clear()
        memory.clear()
        stepEndNanos = null
        snapshot = null
        loaded = settings.models.toList()
        incarnation = nextIncarnation()
    }

    @Synchronized
    fun restart() {
        isUp = true
    }

    fun close() {
        closed = true
        crash()
        LockSupport.unpark(stepper)
    }

    override fun onAdmitted(call: EngineCall): Boolean {
        call.startedMillis = System.currentTimeMillis()
        call.startedNanos = System.nanoTime()
        if (call.prompt.isPoison) {
            executed.add(call.toExecuted())
            crash()
            call.finish(EngineEnd.Failed(AttemptFailure.CONNECTION_LOST, "the engine crashed"))
            return false
        }
        call.cachedTokens = memory.admit(call)
        call.prefillLeft = maxOf(1.0, (call.prompt.totalTokens - call.cachedTokens).toDouble())
        return true
    }

    override fun onPrefilled(call: EngineCall): Unit = memory.prefilled(call)

    override fun onGenerated(call: EngineCall) {
        memory.answered(call)
        if (call.request.pinMillis > 0) memory.pin(call.request.call.program, call.request.pinMillis)
        val generated =
            Generated(
                promptTokens = call.prompt.totalTokens.toLong(),
                cachedTokens = call.cachedTokens.toLong(),
                generatedTokens = call.generatedTokens.toLong(),
                engineMillis = (System.nanoTime() - call.startedNanos) / 1_000_000,
                load = load(),
            )
        ended(call, EngineEnd.Done(generated))
    }

    private fun enqueue(
        request: GenerateRequest,
        prompt: EnginePrompt,
        sink: EngineSink,
    ): Submission {
        if (!isUp) return Submission.Down
        if (request.model !in loaded) return Submission.Rejected(AttemptFailure.REJECTED, "model ${request.model} is not loaded")
        if (prompt.tokens.isEmpty()) return Submission.Rejected(AttemptFailure.REJECTED, "the prompt has no messages")
        if (faults.busy || loop.waiting.size >= settings.maxWaitingCalls) {
            return Submission.Rejected(AttemptFailure.BUSY, "the engine is at its limit")
        }
        val answer = AnswerText(prompt.chainHashes.last(), settings.seed)
        val wanted = prompt.requestedTokens ?: answer.length(settings.minAnswerTokens, settings.maxAnswerTokens)
        val call = EngineCall(request, sequence++, prompt, wanted.coerceIn(1, request.maxTokens.coerceAtLeast(1)), answer)
        call.attach(sink, faults.silentAfterChunks)
        streams.remove(request.call)
        streams[request.call] = call
        forgetOldStreams()
        loop.waiting.add(call)
        if (stepEndNanos == null) LockSupport.unpark(stepper)
        return Submission.Accepted(call)
    }

    private fun mayAdmit(
        call: EngineCall,
        isFirst: Boolean,
    ): Boolean {
        memory.expirePins()
        return isFirst || memory.hasRoomFor(call)
    }

    private fun run() {
        while (!closed) {
            val waitNanos = synchronized(this) { advance(System.nanoTime()) }
            if (waitNanos == null) LockSupport.park(this) else LockSupport.parkNanos(this, maxOf(waitNanos, MIN_WAIT_NANOS))
        }
    }

    /** Runs the steps that are over and returns the time to the end of the next one. */
    private fun advance(now: Long): Long? {
        if (!isUp) return IDLE_WAIT_NANOS
        if (stepEndNanos == null) plan(now)
        sweep(now)
        while (true) {
            val end = stepEndNanos ?: return if (loop.isIdle) null else IDLE_WAIT_NANOS
            if (end > now) return end - now
            loop.finish()
            plan(end)
        }
    }

    private fun plan(startNanos: Long) {
        stepEndNanos = loop.begin(faults.slowFactor)?.let { startNanos + settings.realNanos(it) }
    }

    private fun sweep(now: Long) {
        if (now - sweptAtNanos < SWEEP_NANOS) return
        sweptAtNanos = now
        val nowMillis = System.currentTimeMillis()
        (loop.running + loop.waiting).filter { it.request.deadlineMillis <= nowMillis }.forEach {
            fail(it, AttemptFailure.DEADLINE, "the deadline passed")
        }
        if (now - keptAliveAtNanos < KEEP_ALIVE_NANOS) return
        keptAliveAtNanos = now
        loop.running.forEach { it.keepAlive() }
        loop.waiting.forEach { it.keepAlive() }
    }

    private fun fail(
        call: EngineCall,
        failure: AttemptFailure,
        message: String,
    ) {
        loop.remove(call)
        if (call.startedNanos == 0L) call.finish(EngineEnd.Failed(failure, message)) else ended(call, EngineEnd.Failed(failure, message))
    }

    private fun ended(
        call: EngineCall,
        end: EngineEnd,
    ) {
        memory.end(call)
        call.finish(end)
        executed.add(call.toExecuted())
        totals =
            EngineTotals(
                calls = totals.calls + 1,
                promptTokens = totals.promptTokens + call.prompt.totalTokens,
                cachedTokens = totals.cachedTokens + call.cachedTokens,
                generatedTokens = totals.generatedTokens + call.generatedTokens,
            )
    }

    private fun forgetOldStreams() {
        if (streams.size <= KEPT_STREAMS) return
        val oldest = streams.values.firstOrNull { it.end != null } ?: return
        streams.remove(oldest.request.call)
    }

    private fun nextIncarnation(): String = "${settings.server}-${++incarnationNumber}-${random.nextInt(0x10000).toString(16)}"

    private companion object {
        /** Steps shorter than this are run several at a time. */
        const val MIN_WAIT_NANOS = 50_000L

        /** How soon a call is admitted that had to wait for memory or for a restart. */
        const val IDLE_WAIT_NANOS = 20_000_000L
        const val SWEEP_NANOS = 50_000_000L

        /** A third of the shortest stream idle limit in use, 3 s. */
        const val KEEP_ALIVE_NANOS = 1_000_000_000L

        /** Ended streams can be resumed until this many others have come. */
        const val KEPT_STREAMS = 1_000
    }
}
