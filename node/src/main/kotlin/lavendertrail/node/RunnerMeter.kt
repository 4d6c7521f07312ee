package lavendertrail.node

import org.HdrHistogram.ConcurrentHistogram
import java.lang.management.ManagementFactory
import java.util.concurrent.atomic.LongAdder

/** Cost of the reducer on this node: decision times in nanoseconds, and the runner thread's CPU time and allocated memory. */
internal data class RunnerStats(
    val decisions: Long,
    val decisionMedianNanos: Long,
    val decisionP99Nanos: Long,
    val queueLength: Int,
    val cpuNanos: Long,
    val allocatedBytes: Long,
    val faults: Long,
)

/** Measures the runner from the runner's own thread; [stats] may be read from any thread. */
internal class RunnerMeter {
    private val histogram = ConcurrentHistogram(MAX_DECISION_NANOS, 2)
    private val faults = LongAdder()
    private val threads = ManagementFactory.getThreadMXBean()
    private var stepsSinceSample = 0

    @Volatile
    private var cpuNanos = 0L

    @Volatile
    private var allocatedBytes = 0L

    /** Ticks are left out of the histogram, because they would hide the cost of events on an idle node. */
    fun recordDecision(
        nanos: Long,
        inHistogram: Boolean,
    ) {
        if (inHistogram) histogram.recordValue(nanos.coerceIn(1, MAX_DECISION_NANOS))
        if (++stepsSinceSample >= STEPS_PER_SAMPLE) sample()
    }

    fun recordFault(): Unit = faults.increment()

    fun stats(queueLength: Int): RunnerStats =
        RunnerStats(
            decisions = histogram.totalCount,
            decisionMedianNanos = histogram.getValueAtPercentile(MEDIAN),
            decisionP99Nanos = histogram.getValueAtPercentile(P99),
            queueLength = queueLength,
            cpuNanos = cpuNanos,
            allocatedBytes = allocatedBytes,
            faults = faults.sum(),
        )

    private fun sample() {
        stepsSinceSample = 0
        cpuNanos = threads.currentThreadCpuTime
        allocatedBytes = (threads as? com.sun.management.ThreadMXBean)?.getThreadAllocatedBytes(Thread.currentThread().id) ?: 0
    }

    private companion object {
        const val MAX_DECISION_NANOS = 10_000_000_000L
        const val MEDIAN = 50.0
        const val P99 = 99.0

        /** Reading the thread's CPU time takes about a microsecond, so it isn't done on each step. */
        const val STEPS_PER_SAMPLE = 20
    }
}
