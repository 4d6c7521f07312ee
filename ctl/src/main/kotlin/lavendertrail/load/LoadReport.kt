package lavendertrail.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Median and 95th percentile of a set of times. */
@Serializable
internal data class TimeFigures(
    val count: Long,
    val p50Millis: Double,
    val p95Millis: Double,
    val maxMillis: Double,
)

/** What one kind of call needed. [joinedPercent] are pieces that came within 1 ms of the one before. */
@Serializable
internal data class CallFigures(
    val first: TimeFigures,
    val total: TimeFigures,
    val gap: TimeFigures,
    val joinedPercent: Double,
    val requestsPerSecond: Double,
    val cpuMillisPerCall: Double,
)

/** The result of a load run. Added times are node minus direct; ratios are node over direct. */
@Serializable
internal data class LoadReport(
    val streams: Int,
    val rounds: Int,
    val nodes: Int,
    val answerTokens: Int,
    val tokensPerSecond: Double,
    val direct: CallFigures,
    val node: CallFigures,
    val ownerIsEntryFirst: TimeFigures,
    val forwardedFirst: TimeFigures,
    val addedFirstP50Millis: Double,
    val addedTotalP50Millis: Double,
    val addedFirstP95Millis: Double,
    val firstP50Ratio: Double,
    val totalP50Ratio: Double,
    val nodeCpuMillisPerCall: Double,
    val targetAddedMillis: Double,
    val targetMet: Boolean,
)

/** Times of calls of one kind. Threads record into it together. */
internal class LoadRecorder {
    private val first = nanosHistogram()
    private val total = nanosHistogram()
    private val gaps = nanosHistogram()
    private var joined = 0L
    private var elapsedNanos = 0L
    private var cpuNanos = 0L

    @Synchronized
    fun add(answer: TimedAnswer) {
        first.recordValue(answer.firstNanos)
        total.recordValue(answer.totalNanos)
        answer.gapNanos.forEach(gaps::recordValue)
        joined += answer.gapNanos.count { it < JOINED_NANOS }
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
    fun figures(): CallFigures {
        val calls = first.totalCount.coerceAtLeast(1)
        return CallFigures(
            first = first.figures(),
            total = total.figures(),
            gap = gaps.figures(),
            joinedPercent = 100.0 * joined / gaps.totalCount.coerceAtLeast(1),
            requestsPerSecond = calls * 1e9 / elapsedNanos.coerceAtLeast(1),
            cpuMillisPerCall = cpuNanos / 1e6 / calls,
        )
    }

    private companion object {
        const val JOINED_NANOS = 1_000_000L
    }
}

internal fun nanosHistogram(): Histogram = Histogram(3).apply { isAutoResize = true }

internal fun Histogram.figures(): TimeFigures =
    TimeFigures(totalCount, getValueAtPercentile(50.0) / 1e6, getValueAtPercentile(95.0) / 1e6, maxValue / 1e6)
