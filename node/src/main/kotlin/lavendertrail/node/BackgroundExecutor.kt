package lavendertrail.node

import org.tinylog.kotlin.Logger
import java.util.concurrent.Executor
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Threads for everything that blocks. Faults of a task are logged under the name of its step and don't end the thread. */
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
            pool.execute { guarded(step, task) }
        } catch (_: RejectedExecutionException) {
            // The node is closing; nothing waits for the task.
        }
    }

    fun after(
        delayMillis: Long,
        step: String,
        task: () -> Unit,
    ) {
        try {
            timer.schedule({ run(step, task) }, delayMillis, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            // The node is closing; nothing waits for the task.
        }
    }

    /** Runs [task] again [periodMillis] after its end, so that a slow peer never piles up runs. */
    fun every(
        periodMillis: Long,
        step: String,
        task: () -> Unit,
    ): Unit =
        after(periodMillis, step) {
            try {
                task()
            } finally {
                every(periodMillis, step, task)
            }
        }

    override fun close() {
        timer.shutdownNow()
        pool.shutdownNow()
    }

    private fun guarded(
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
