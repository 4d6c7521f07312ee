package lavendertrail.standins

import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Runs short actions after a delay for all stand-ins of a process, so that a pending delay doesn't occupy a thread. */
internal object DelayScheduler {
    private val executor =
        ScheduledThreadPoolExecutor(2) { task -> Thread(task, "stand-in delays").apply { isDaemon = true } }
            .apply { removeOnCancelPolicy = true }

    fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        if (delayMillis <= 0) executor.execute(action) else executor.schedule(action, delayMillis, TimeUnit.MILLISECONDS)
    }
}
