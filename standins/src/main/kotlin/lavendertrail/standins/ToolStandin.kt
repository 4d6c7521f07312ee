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
 * [durationMillis] is the median duration of a call; durations vary by [durationSpread], the sigma of a log-normal
 * distribution, because tool pauses have a long tail. [deduplicates] is false by default, so that a key sent twice
 * shows in the ledger as two executions.
 */
public data class ToolSettings(
    public val durationMillis: Long = 50,
    public val durationSpread: Double = 0.0,
    public val deduplicates: Boolean = false,
    public val restartMillis: Long = 500,
    public val timeScale: Double = 1.0,
)

/** A fault of a tool service, for the calls from now on. */
public enum class ToolFault {
    NONE,

    /** Accepts the call, executes nothing and never answers. */
    HANG,

    /** Executes the call and answers with an error. */
    ERROR,

    /** Rejects the call before executing it. */
    REJECT,

    /** Reports that it is at its limit. */
    BUSY,

    /** Executes the call, then the whole service goes down and comes back later. */
    CRASH_AFTER_EXECUTION,

    /** Executes the call, then the connection breaks. */
    LOST_ANSWER,
}

/** One execution of a call, whatever became of its answer. */
public data class ToolExecution(
    public val tool: ToolId,
    public val key: String?,
    public val arguments: String,
    public val startedMillis: Long,
)

/** What [ToolStandin.run] ends with. */
internal sealed interface ToolEnd {
    data class Answer(
        val text: String,
    ) : ToolEnd

    data class Failure(
        val failure: AttemptFailure,
        val message: String,
    ) : ToolEnd
}

/** A started call with the fault that it meets. */
internal class ToolRun(
    val fault: ToolFault,
    val end: CompletableFuture<ToolEnd>,
)

/** A tool or plain service in process, and the state behind [serveTool]. */
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

    /** Multiplies durations. */
    @Volatile
    public var slowFactor: Double = 1.0

    /** How many calls get [fault]; later ones run normally. */
    @Volatile
    public var faultyCalls: Int = Int.MAX_VALUE

    /** All executions so far, in the order of their start. */
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
        val end =
            try {
                run(request).end.get(request.timeoutMillis, TimeUnit.MILLISECONDS)
            } catch (e: TimeoutException) {
                ToolEnd.Failure(AttemptFailure.DEADLINE, "no answer within ${request.timeoutMillis} ms")
            } catch (e: ExecutionException) {
                ToolEnd.Failure(AttemptFailure.CONNECTION_LOST, e.message.orEmpty())
            }
        return when (end) {
            is ToolEnd.Answer -> Ok(end.text)
            is ToolEnd.Failure -> Err(AttemptError(end.failure, StepError("tool call", PEER, end.message)))
        }
    }

    override fun status(key: String): Result<ToolStatus?, StepError> = Ok(synchronized(executed) { statuses[key] })

    override fun close(): Unit = Unit

    /** Starts a call; its end completes when it would be answered, and never where it hangs. */
    internal fun run(request: ToolRequest): ToolRun {
        val current = takeFault()
        val known = request.key?.let { synchronized(executed) { statuses[it] } }
        val end =
            when {
                current == ToolFault.HANG -> CompletableFuture()
                current == ToolFault.BUSY -> done(ToolEnd.Failure(AttemptFailure.BUSY, "at the limit"))
                current == ToolFault.REJECT -> done(ToolEnd.Failure(AttemptFailure.REJECTED, "rejected before execution"))
                settings.deduplicates && known?.done == true -> done(ToolEnd.Answer(known.answer.orEmpty()))
                else -> execute(request, current)
            }
        return ToolRun(current, end)
    }

    internal fun onCrash(listener: (Long) -> Unit) {
        crashListeners.add(listener)
    }

    private fun execute(
        request: ToolRequest,
        current: ToolFault,
    ): CompletableFuture<ToolEnd> {
        val answer = answerOf(request)
        synchronized(executed) {
            executed.add(ToolExecution(request.tool, request.key, request.arguments, System.currentTimeMillis()))
            request.key?.let { statuses[it] = ToolStatus(done = false, answer = null) }
        }
        return CompletableFuture<ToolEnd>().also { future ->
            Delays.run(nextDurationMillis()) {
                synchronized(executed) { request.key?.let { statuses[it] = ToolStatus(done = true, answer = answer) } }
                future.complete(end(answer, current))
            }
        }
    }

    private fun end(
        answer: String,
        current: ToolFault,
    ): ToolEnd =
        when (current) {
            ToolFault.ERROR -> ToolEnd.Failure(AttemptFailure.ERROR, "the tool failed")

            ToolFault.LOST_ANSWER -> ToolEnd.Failure(AttemptFailure.CONNECTION_LOST, "the connection broke before the answer")

            ToolFault.CRASH_AFTER_EXECUTION -> {
                crashListeners.forEach { it(scaled(settings.restartMillis.toDouble())) }
                ToolEnd.Failure(AttemptFailure.CONNECTION_LOST, "the service crashed before the answer")
            }

            else -> ToolEnd.Answer(answer)
        }

    @Synchronized
    private fun takeFault(): ToolFault {
        if (fault == ToolFault.NONE || faultyCalls <= 0) return ToolFault.NONE
        if (faultyCalls != Int.MAX_VALUE) faultyCalls--
        return fault
    }

    private fun nextDurationMillis(): Long =
        scaled(settings.durationMillis * slowFactor * exp(settings.durationSpread * synchronized(random) { random.nextGaussian() }))

    private fun scaled(modelMillis: Double): Long = (modelMillis / settings.timeScale).toLong()

    private fun answerOf(request: ToolRequest): String = "${request.tool} did ${request.arguments}"

    private fun done(end: ToolEnd): CompletableFuture<ToolEnd> = CompletableFuture.completedFuture(end)

    private companion object {
        const val PEER = "tool stand-in"
    }
}
