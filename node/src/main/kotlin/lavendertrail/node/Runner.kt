package lavendertrail.node

import lavendertrail.reducer.Effect
import lavendertrail.reducer.Event
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.Step
import lavendertrail.reducer.Tick
import lavendertrail.reducer.TimedEvent
import lavendertrail.reducer.reduce
import org.tinylog.kotlin.Logger
import java.util.SplittableRandom
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * Applies events to the state of a node, in order, on one thread, and hands the resulting effects to [execute], which
 * must not block. A [Tick] is applied every [tickMillis]. [onStep] is called after each step with the resulting state.
 *
 * ```kotlin
 * val runner = Runner(NodeState(self), execute = executors::execute)
 * runner.start()
 * runner.submit(CallSubmitted(requestId, request))
 * ```
 */
internal class Runner(
    initial: NodeState,
    private val tickMillis: Long = 50,
    private val clock: () -> Long = System::currentTimeMillis,
    private val random: SplittableRandom = SplittableRandom(),
    private val recorder: EventRecorder? = null,
    private val gate: PauseGate = PauseGate(),
    private val onStep: (NodeState) -> Unit = {},
    private val execute: (List<Effect>) -> Unit,
) : AutoCloseable {
    private val queue = LinkedBlockingQueue<Event>()
    private val meter = RunnerMeter()
    private val thread = Thread(::run, "runner").apply { isDaemon = true }

    /** The state after the last step; reading it from any thread is safe because it is immutable. */
    @Volatile
    var state: NodeState = initial
        private set

    @Volatile
    private var stopped = false

    fun start() {
        recorder?.begin(state)
        thread.start()
    }

    fun submit(event: Event) {
        if (!stopped) queue.add(event)
    }

    fun stats(): RunnerStats = meter.stats(queue.size)

    override fun close() {
        stopped = true
        thread.interrupt()
        thread.join(CLOSE_WAIT_MILLIS)
        recorder?.end(state)
    }

    private fun run() {
        var nextTick = System.nanoTime()
        while (!stopped) {
            try {
                val waitNanos = nextTick - System.nanoTime()
                val event = if (waitNanos > 0) queue.poll(waitNanos, TimeUnit.NANOSECONDS) else null
                gate.awaitOpen()
                if (event != null) apply(event)
                if (System.nanoTime() >= nextTick) {
                    apply(Tick)
                    nextTick = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(tickMillis)
                }
            } catch (_: InterruptedException) {
                // Only close() interrupts this thread; the loop's condition ends it.
            }
        }
    }

    /** An exception in a sub-reducer must not end the node: the event is dropped, counted and logged, the state stays as it was. */
    private fun apply(event: Event) {
        val timed = TimedEvent(clock(), random.nextLong(), event)
        val begin = System.nanoTime()
        val step =
            try {
                reduce(state, timed)
            } catch (fault: RuntimeException) {
                meter.recordFault()
                Logger.error(fault, "runner: event ${event::class.simpleName} failed and was dropped")
                return
            }
        recorder?.record(timed)
        state = step.state
        meter.recordDecision(System.nanoTime() - begin, event !== Tick)
        dispatchEffects(step)
    }

    private fun dispatchEffects(step: Step) {
        try {
            if (step.effects.isNotEmpty()) execute(step.effects)
            onStep(step.state)
        } catch (fault: RuntimeException) {
            meter.recordFault()
            Logger.error(fault, "runner: effects of a step could not be handed over")
        }
    }

    private companion object {
        const val CLOSE_WAIT_MILLIS = 2_000L
    }
}
