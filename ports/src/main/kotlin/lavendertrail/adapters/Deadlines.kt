package lavendertrail.adapters

import java.util.concurrent.ScheduledFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Runs short actions at the deadlines of all calls of this process, on one shared daemon thread. */
internal object Deadlines {
    private val executor =
        ScheduledThreadPoolExecutor(1) { task -> Thread(task, "adapter deadlines").apply { isDaemon = true } }
            .apply { removeOnCancelPolicy = true }

    fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ): ScheduledFuture<*> = executor.schedule(action, delayMillis, TimeUnit.MILLISECONDS)
}
