package lavendertrail.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Median, 95th percentile and maximum of a set of times. */
@Serializable
internal data class LatencyStats(
    val count: Long,
    val p50Millis: Double,
    val p95Millis: Double,
    val maxMillis: Double,
)

/**
 * Latency, throughput and CPU time of one kind of call. [joinedPercent] is the share of text pieces that arrived within 1 ms of
 * the one before.
 */
@Serializable
internal data class CallStats(
    val first: LatencyStats,
    val total: LatencyStats,
    val gap: LatencyStats,
    val joinedPercent: Double,
    val requestsPerSecond: Double,
    val cpuMillisPerCall: Double,
)

/** The result of a load run. Added times are node minus direct; ratios are node divided by direct. */
@Serializable
internal data class LoadReport(
    val streams: Int,
    val rounds: Int,
    val nodes: Int,
    val answerTokens: Int,
    val tokensPerSecond: Double,
    val direct: CallStats,
    val node: CallStats,
    val ownerIsEntryFirst: LatencyStats,
    val forwardedFirst: LatencyStats,
    val addedFirstP50Millis: Double,
    val addedTotalP50Millis: Double,
    val addedFirstP95Millis: Double,
    val firstP50Ratio: Double,
    val totalP50Ratio: Double,
    val nodeCpuMillisPerCall: Double,
    val targetAddedMillis: Double,
    val targetMet: Boolean,
)

/** Records the times of calls of one kind. Thread-safe. */
internal class LoadRecorder {
    private val first = nanosHistogram()
    private val total = nanosHistogram()
    private val gaps = nanosHistogram()
    private var joinedPieces = 0L
    private var elapsedNanos = 0L
    private var cpuNanos = 0L

    @Synchronized
    fun add(answer: TimedAnswer) {
        first.recordValue(answer.firstNanos)
        total.recordValue(answer.totalNanos)
        answer.gapNanos.forEach(gaps::recordValue)
        joinedPieces += answer.gapNanos.count { it < MAX_JOINED_GAP_NANOS }
    }

    @Synchronized
    fun addRound(
        elapsed: Long,
        cpu: Long,
    ) {
        elapsedNanos += elapsed
        cpuNanos += cpu
    }

    @Synchronized
    fun stats(): CallStats {
        val calls = first.totalCount.coerceAtLeast(1)
        return CallStats(
            first = first.stats(),
            total = total.stats(),
            gap = gaps.stats(),
            joinedPercent = 100.0 * joinedPieces / gaps.totalCount.coerceAtLeast(1),
            requestsPerSecond = calls * 1e9 / elapsedNanos.coerceAtLeast(1),
            cpuMillisPerCall = cpuNanos / 1e6 / calls,
        )
    }

    private companion object {
        const val MAX_JOINED_GAP_NANOS = 1_000_000L
    }
}

internal fun nanosHistogram(): Histogram = Histogram(3).apply { isAutoResize = true }

internal fun Histogram.stats(): LatencyStats =
    LatencyStats(totalCount, getValueAtPercentile(50.0) / 1e6, getValueAtPercentile(95.0) / 1e6, maxValue / 1e6)
