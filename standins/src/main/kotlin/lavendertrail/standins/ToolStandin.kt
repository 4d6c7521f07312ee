package lavendertrail.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import lavendertrail.model.StepError
import lavendertrail.model.ToolId
import lavendertrail.ports.AttemptError
import lavendertrail.ports.ToolRequest
import lavendertrail.ports.ToolService
import lavendertrail.ports.ToolStatus
import lavendertrail.reducer.AttemptFailure
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

/**
 * Settings of a stand-in tool service. [durationMillis] is the median duration of a call. Durations follow a log-normal
 * distribution with sigma [durationSpread], because tool call durations have a long tail. [deduplicates] is false by default,
 * so that a key sent twice appears in [ToolStandin.executions] twice.
 */
public data class ToolSettings(
    public val durationMillis: Long = 50,
    public val durationSpread: Double = 0.0,
    public val deduplicates: Boolean = false,
    public val restartMillis: Long = 500,
    public val timeScale: Double = 1.0,
)

/** An injected fault of a tool service. It applies to calls that start after it is set. */
public enum class ToolFault {
    NONE,

    /** Accepts the call, executes nothing and never answers. */
    HANG,

    /** Executes the call and answers with an error. */
    ERROR,

    /** Rejects the call before executing it. */
    REJECT,

    /** Rejects the call because the service is at its limit. */
    BUSY,

    /** Executes the call, then the whole service crashes and restarts later. */
    CRASH_AFTER_EXECUTION,

    /** Executes the call, then closes the connection without an answer. */
    LOST_ANSWER,
}

/** One execution of a call, whether or not its answer was delivered. */
public data class ToolExecution(
    public val tool: ToolId,
    public val key: String?,
    public val arguments: String,
    public val startedMillis: Long,
)

/** The outcome of a call started by [ToolStandin.startCall]. */
internal sealed interface ToolOutcome {
    data class Answer(
        val text: String,
    ) : ToolOutcome

    data class Failure(
        val failure: AttemptFailure,
        val message: String,
    ) : ToolOutcome
}

/** A started call and the fault injected into it. */
internal class ToolRun(
    val fault: ToolFault,
    val outcome: CompletableFuture<ToolOutcome>,
)

/** An in-process tool or plain service, which [serveTool] exposes over HTTP. */
public class ToolStandin(
    private val settings: ToolSettings = ToolSettings(),
    seed: Long = 1,
) : ToolService {
    private val random = Random(seed).asJavaRandom()
    private val executed = mutableListOf<ToolExecution>()
    private val statuses = mutableMapOf<String, ToolStatus>()
    private val crashListeners = mutableListOf<(Long) -> Unit>()

    @Volatile
    public var fault: ToolFault = ToolFault.NONE

    /** Multiplies the durations of calls. */
    @Volatile
    public var slowFactor: Double = 1.0

    /** How many more calls get [fault]; later calls run normally. */
    @Volatile
    public var faultyCalls: Int = Int.MAX_VALUE

    /** All executions so far in the order they started. */
    public val executions: List<ToolExecution>
        get() = synchronized(executed) { executed.toList() }

    /** Keys that were executed more than once. */
    public val repeatedKeys: Set<String>
        get() =
            executions
                .mapNotNull { it.key }
                .groupingBy { it }
                .eachCount()
                .filterValues { it > 1 }
                .keys

    override fun call(request: ToolRequest): Result<String, AttemptError> {
        val outcome =
            try {
                startCall(request).outcome.get(request.timeoutMillis, TimeUnit.MILLISECONDS)
            } catch (e: TimeoutException) {
                ToolOutcome.Failure(AttemptFailure.DEADLINE, "no answer within ${request.timeoutMillis} ms")
            } catch (e: ExecutionException) {
                ToolOutcome.Failure(AttemptFailure.CONNECTION_LOST, e.message.orEmpty())
            }
        return when (outcome) {
            is ToolOutcome.Answer -> Ok(outcome.text)
            is ToolOutcome.Failure -> Err(AttemptError(outcome.failure, StepError("tool call", PEER, outcome.message)))
        }
    }

    override fun status(key: String): Result<ToolStatus?, StepError> = Ok(synchronized(executed) { statuses[key] })

    override fun close(): Unit = Unit

    /** Starts a call. Its outcome completes when the response is due, and never if the call hangs. */
    internal fun startCall(request: ToolRequest): ToolRun {
        val activeFault = takeFault()
        val known = request.key?.let { synchronized(executed) { statuses[it] } }
        val outcome =
            when {
                activeFault == ToolFault.HANG -> CompletableFuture()
                activeFault == ToolFault.BUSY -> completed(ToolOutcome.Failure(AttemptFailure.BUSY, "at the limit"))
                activeFault == ToolFault.REJECT -> completed(ToolOutcome.Failure(AttemptFailure.REJECTED, "rejected before execution"))
                settings.deduplicates && known?.done == true -> completed(ToolOutcome.Answer(known.answer.orEmpty()))
                else -> execute(request, activeFault)
            }
        return ToolRun(activeFault, outcome)
    }

    internal fun addCrashListener(listener: (Long) -> Unit) {
        crashListeners.add(listener)
    }

    private fun execute(
        request: ToolRequest,
        activeFault: ToolFault,
    ): CompletableFuture<ToolOutcome> {
        val answer = answerOf(request)
        synchronized(executed) {
            executed.add(ToolExecution(request.tool, request.key, request.arguments, System.currentTimeMillis()))
            request.key?.let { statuses[it] = ToolStatus(done = false, answer = null) }
        }
        return CompletableFuture<ToolOutcome>().also { future ->
            DelayScheduler.schedule(nextDurationMillis()) {
                synchronized(executed) { request.key?.let { statuses[it] = ToolStatus(done = true, answer = answer) } }
                future.complete(outcomeOf(answer, activeFault))
            }
        }
    }

    private fun outcomeOf(
        answer: String,
        activeFault: ToolFault,
    ): ToolOutcome =
        when (activeFault) {
            ToolFault.ERROR -> ToolOutcome.Failure(AttemptFailure.ERROR, "the tool failed")

            ToolFault.LOST_ANSWER -> ToolOutcome.Failure(AttemptFailure.CONNECTION_LOST, "the connection broke before the answer")

            ToolFault.CRASH_AFTER_EXECUTION -> {
                crashListeners.forEach { it(toRealMillis(settings.restartMillis.toDouble())) }
                ToolOutcome.Failure(AttemptFailure.CONNECTION_LOST, "the service crashed before the answer")
            }

            else -> ToolOutcome.Answer(answer)
        }

    @Synchronized
    private fun takeFault(): ToolFault {
        if (fault == ToolFault.NONE || faultyCalls <= 0) return ToolFault.NONE
        if (faultyCalls != Int.MAX_VALUE) faultyCalls--
        return fault
    }

    private fun nextDurationMillis(): Long =
        toRealMillis(settings.durationMillis * slowFactor * exp(settings.durationSpread * synchronized(random) { random.nextGaussian() }))

    private fun toRealMillis(simulatedMillis: Double): Long = (simulatedMillis / settings.timeScale).toLong()

    private fun answerOf(request: ToolRequest): String = "${request.tool} did ${request.arguments}"

    private fun completed(outcome: ToolOutcome): CompletableFuture<ToolOutcome> = CompletableFuture.completedFuture(outcome)

    private companion object {
        const val PEER = "tool stand-in"
    }
}
