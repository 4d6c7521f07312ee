package lavendertrail.node

import org.tinylog.kotlin.Logger
import java.util.concurrent.Executor
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Thread pool for tasks that block. An exception in a task is logged under the name of its step and doesn't end the thread. */
internal class BackgroundExecutor(
    name: String,
    private val gate: PauseGate = PauseGate(),
) : Executor,
    AutoCloseable {
    private val pool = Executors.newCachedThreadPool(daemonThreads("$name-work"))
    private val timer: ScheduledExecutorService = Executors.newScheduledThreadPool(1, daemonThreads("$name-timer"))

    override fun execute(task: Runnable): Unit = run("task") { task.run() }

    fun run(
        step: String,
        task: () -> Unit,
    ) {
        try {
            pool.execute { runAndLogFault(step, task) }
        } catch (_: RejectedExecutionException) {
            // The node is closing; nothing waits for the result of the task.
        }
    }

    fun schedule(
        delayMillis: Long,
        step: String,
        task: () -> Unit,
    ) {
        try {
            timer.schedule({ run(step, task) }, delayMillis, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            // The node is closing; nothing waits for the result of the task.
        }
    }

    /** Starts each run of [task] [delayMillis] after the end of the previous one, so that runs don't pile up on a slow peer. */
    fun scheduleWithFixedDelay(
        delayMillis: Long,
        step: String,
        task: () -> Unit,
    ): Unit =
        schedule(delayMillis, step) {
            try {
                task()
            } finally {
                scheduleWithFixedDelay(delayMillis, step, task)
            }
        }

    override fun close() {
        timer.shutdownNow()
        pool.shutdownNow()
    }

    private fun runAndLogFault(
        step: String,
        task: () -> Unit,
    ) {
        try {
            gate.awaitOpen()
            task()
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        } catch (fault: RuntimeException) {
            if (!pool.isShutdown) Logger.warn(fault, "node: $step failed")
        }
    }
}

private fun daemonThreads(prefix: String): ThreadFactory {
    val count = AtomicInteger()
    return ThreadFactory { task -> Thread(task, "$prefix-${count.incrementAndGet()}").apply { isDaemon = true } }
}
