package lavendertrail.dispatch

/**
 * How many calls this node runs at once on a server. [calls] is null until the first sample, which stands for half of
 * the configured maximum.
 */
internal data class LimitState(
    val calls: Double? = null,
    /** Least seen time to first token over the expected one; corrects wrong speeds in the model's record. */
    val bestRatio: Double? = null,
    val decreasedMillis: Long = 0,
    /** Share of late samples, with a tenth of the weight on the newest. */
    val lateShare: Double = 0.0,
    /** False until the first decrease; the limit grows by one per sample until then, and by 1/limit afterwards. */
    val settled: Boolean = false,
)

/**
 * One measured time to first token. [expectedMillis] is what the prompt's uncached part takes after the prompts that this
 * node had sent there before, so that a short prompt behind a long one is not taken for congestion.
 */
internal data class LatencySample(
    val startedMillis: Long,
    val firstTokenMillis: Long,
    val expectedMillis: Double,
    val runningAtStart: Int,
    val maxRunningCalls: Int,
    val nowMillis: Long,
)

/** How a server's concurrency limit follows its latency; [overloaded] handles a server that said it is busy or fell silent. */
internal class LimitPolicy(
    val callsOf: (LimitState, maxRunningCalls: Int) -> Int,
    val sampled: (LimitState, LatencySample) -> LimitState,
    val overloaded: (LimitState, maxRunningCalls: Int, nowMillis: Long) -> LimitState,
)

/** Baselines use the configured maximum only. */
internal val configuredLimit =
    LimitPolicy(
        callsOf = { _, maxRunningCalls -> maxRunningCalls.coerceAtLeast(1) },
        sampled = { state, _ -> state },
        overloaded = { state, _, _ -> state },
    )

/** Additive increase while the first token comes in time and the limit is in use, multiplicative decrease otherwise. */
internal val latencyLimit =
    LimitPolicy(callsOf = ::learnedCalls, sampled = ::limitAfterSample, overloaded = ::limitAfterOverload)

private fun learnedCalls(
    state: LimitState,
    maxRunningCalls: Int,
): Int = (state.calls ?: (maxRunningCalls / 2.0)).toInt().coerceIn(1, maxRunningCalls.coerceAtLeast(1))

// A first token that takes more than twice the expected time, and at least this much longer, is a sign of queueing. The
// slack covers the prompts of other nodes and a few decode steps (29 ms each).
private const val LATENCY_TOLERANCE = 2.0
private const val LATENCY_SLACK_MILLIS = 1_000.0

// Single late answers come from prompts that were less cached than believed; congestion makes most answers late. With a
// decrease at each late answer, limits fell to 2 of 32 in a trial and throughput with them.
private const val LATE_SHARE_LIMIT = 0.5
private const val LATE_SHARE_AFTER_DECREASE = 0.25
private const val LATE_SAMPLE_WEIGHT = 0.1
private const val DECREASE_FACTOR = 0.85
private const val OVERLOAD_FACTOR = 0.7

// Calls that failed together must not decrease the limit more than once.
private const val DECREASE_PAUSE_MILLIS = 1_000L

private fun limitAfterSample(
    state: LimitState,
    sample: LatencySample,
): LimitState {
    val ratio = sample.firstTokenMillis / sample.expectedMillis.coerceAtLeast(1.0)
    // The minimum rises slowly, so that it follows a server that became slower for good.
    val best = minOf(ratio, (state.bestRatio ?: ratio) * 1.01).coerceIn(0.1, 4.0)
    val expected = sample.expectedMillis * maxOf(1.0, best)
    val late = sample.firstTokenMillis > expected * LATENCY_TOLERANCE && sample.firstTokenMillis > expected + LATENCY_SLACK_MILLIS
    val calls = state.calls ?: (sample.maxRunningCalls / 2.0)
    val lateShare = state.lateShare + LATE_SAMPLE_WEIGHT * ((if (late) 1.0 else 0.0) - state.lateShare)
    val next = state.copy(bestRatio = best, calls = calls, lateShare = lateShare)
    return when {
        // A call that was sent before the last decrease tells nothing about the limit of now.
        late && (lateShare < LATE_SHARE_LIMIT || sample.startedMillis < state.decreasedMillis) -> next
        late ->
            next.copy(
                calls = (calls * DECREASE_FACTOR).coerceIn(1.0, sample.maxRunningCalls.toDouble()),
                decreasedMillis = sample.nowMillis,
                lateShare = LATE_SHARE_AFTER_DECREASE,
                settled = true,
            )
        sample.runningAtStart < calls * 0.75 -> next
        else ->
            next.copy(calls = (calls + if (state.settled) 1 / calls else 1.0).coerceIn(1.0, sample.maxRunningCalls.toDouble()))
    }
}

private fun limitAfterOverload(
    state: LimitState,
    maxRunningCalls: Int,
    nowMillis: Long,
): LimitState {
    if (nowMillis - state.decreasedMillis < DECREASE_PAUSE_MILLIS) return state
    val calls = (state.calls ?: (maxRunningCalls / 2.0)) * OVERLOAD_FACTOR
    return state.copy(calls = calls.coerceAtLeast(1.0), decreasedMillis = nowMillis, settled = true)
}
