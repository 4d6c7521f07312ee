package lavendertrail.dispatch

/**
 * State of the limit on the calls that this node runs concurrently on a server. Until the first sample, [calls] is null
 * and the limit is half of the configured maximum.
 */
internal data class LimitState(
    val calls: Double? = null,
    /** Lowest ratio of measured to expected time to first token; compensates for wrong speeds in the model's record. */
    val minLatencyRatio: Double? = null,
    val lastDecreaseMillis: Long = 0,
    /** Moving average of the share of late samples, in which the newest has a weight of 0.1. */
    val lateShare: Double = 0.0,
    /** False until the first decrease. The limit grows by one per sample until then (slow start), and by 1/limit afterwards. */
    val slowStartEnded: Boolean = false,
)

/**
 * One measured time to first token. [expectedMillis] includes the prompts that this node sent to the server earlier, which
 * are computed before the call's uncached tokens; otherwise a short prompt behind a long one would look like congestion.
 */
internal data class LatencySample(
    val startedMillis: Long,
    val firstTokenMillis: Long,
    val expectedMillis: Double,
    val runningAtStart: Int,
    val maxRunningCalls: Int,
    val nowMillis: Long,
)

/** Adapts the concurrency limit of a server. [afterOverload] is for a server that reported being busy or stopped responding. */
internal class LimitPolicy(
    val callLimitOf: (LimitState, maxRunningCalls: Int) -> Int,
    val afterSample: (LimitState, LatencySample) -> LimitState,
    val afterOverload: (LimitState, maxRunningCalls: Int, nowMillis: Long) -> LimitState,
)

/** Always the configured maximum; used by the baseline policies. */
internal val configuredLimit =
    LimitPolicy(
        callLimitOf = { _, maxRunningCalls -> maxRunningCalls.coerceAtLeast(1) },
        afterSample = { state, _ -> state },
        afterOverload = { state, _, _ -> state },
    )

/**
 * Additive increase and multiplicative decrease: the limit grows while first tokens arrive in time and the limit is in use,
 * and shrinks when most of them are late.
 */
internal val latencyBasedLimit =
    LimitPolicy(callLimitOf = ::adaptiveCallLimit, afterSample = ::limitAfterSample, afterOverload = ::limitAfterOverload)

private fun adaptiveCallLimit(
    state: LimitState,
    maxRunningCalls: Int,
): Int = (state.calls ?: (maxRunningCalls / 2.0)).toInt().coerceIn(1, maxRunningCalls.coerceAtLeast(1))

// A first token counts as late, which indicates queueing, when it takes more than twice the expected time and at least the
// slack longer. The slack covers prompts of other nodes and a few decode steps (29 ms each).
private const val LATENCY_TOLERANCE = 2.0
private const val LATENCY_SLACK_MILLIS = 1_000.0

// A single late first token is usually a prompt of which less was cached than expected, while congestion delays most of
// them. Decreasing at every late one lowered limits to 2 of 32 and throughput with them.
private const val LATE_SHARE_LIMIT = 0.5
private const val LATE_SHARE_AFTER_DECREASE = 0.25
private const val LATE_SAMPLE_WEIGHT = 0.1
private const val DECREASE_FACTOR = 0.85
private const val OVERLOAD_FACTOR = 0.7

// Calls that fail together decrease the limit only once.
private const val DECREASE_PAUSE_MILLIS = 1_000L

private fun limitAfterSample(
    state: LimitState,
    sample: LatencySample,
): LimitState {
    val ratio = sample.firstTokenMillis / sample.expectedMillis.coerceAtLeast(1.0)
    // The minimum rises by 1% per sample, so that it adapts to a server that has become permanently slower.
    val minRatio = minOf(ratio, (state.minLatencyRatio ?: ratio) * 1.01).coerceIn(0.1, 4.0)
    val expected = sample.expectedMillis * maxOf(1.0, minRatio)
    val late = sample.firstTokenMillis > expected * LATENCY_TOLERANCE && sample.firstTokenMillis > expected + LATENCY_SLACK_MILLIS
    val calls = state.calls ?: (sample.maxRunningCalls / 2.0)
    val lateShare = state.lateShare + LATE_SAMPLE_WEIGHT * ((if (late) 1.0 else 0.0) - state.lateShare)
    val next = state.copy(minLatencyRatio = minRatio, calls = calls, lateShare = lateShare)
    return when {
        // A call that was sent before the last decrease was delayed under the former limit.
        late && (lateShare < LATE_SHARE_LIMIT || sample.startedMillis < state.lastDecreaseMillis) -> next
        late ->
            next.copy(
                calls = (calls * DECREASE_FACTOR).coerceIn(1.0, sample.maxRunningCalls.toDouble()),
                lastDecreaseMillis = sample.nowMillis,
                lateShare = LATE_SHARE_AFTER_DECREASE,
                slowStartEnded = true,
            )
        sample.runningAtStart < calls * 0.75 -> next
        else ->
            next.copy(calls = (calls + if (state.slowStartEnded) 1 / calls else 1.0).coerceIn(1.0, sample.maxRunningCalls.toDouble()))
    }
}

private fun limitAfterOverload(
    state: LimitState,
    maxRunningCalls: Int,
    nowMillis: Long,
): LimitState {
    if (nowMillis - state.lastDecreaseMillis < DECREASE_PAUSE_MILLIS) return state
    val calls = (state.calls ?: (maxRunningCalls / 2.0)) * OVERLOAD_FACTOR
    return state.copy(calls = calls.coerceAtLeast(1.0), lastDecreaseMillis = nowMillis, slowStartEnded = true)
}
