package lavendertrail.standins

import lavendertrail.model.ModelId
import lavendertrail.model.ServerId

/**
 * Speed and memory of a stand-in engine. Durations are simulated time, which [timeScale] divides: with 20, everything runs
 * 20 times faster. Values on the wire are real time: pins, deadlines and the engine time of an answer.
 *
 * - A step generates one token for each decoding call. It takes `1 / decodeTokensPerSecond` seconds for one call, plus the
 *   fraction [decodeSlowdownPerCall] of that for each further call. The defaults give 50 tokens/s for a single call and
 *   34 tokens/s with 32 calls, which is the 29 ms between tokens required at the two-year size.
 * - [prefillTokensPerSecond] is shared by all prompts in the order of their admission. 8,000 is in the range of a model with
 *   8 to 30 billion parameters on one accelerator.
 * - [cacheCapacityTokens] is the memory for prompts and answers. 400,000 tokens at about 130 KB each take 52 GB.
 * - [loadLagMillis] is the maximum age of a load report. A cache event becomes visible after [cacheEventLagMillis], and
 *   [cacheEventLossPercent] percent of the events are lost.
 */
public data class EngineSettings(
    public val server: ServerId,
    public val models: List<ModelId>,
    public val prefillTokensPerSecond: Double = 8_000.0,
    public val decodeTokensPerSecond: Double = 50.0,
    public val decodeSlowdownPerCall: Double = 0.015,
    public val maxRunningCalls: Int = 32,
    public val maxWaitingCalls: Int = 2_000,
    public val cacheCapacityTokens: Long = 400_000,
    public val transferTokensPerSecond: Double = 60_000.0,
    public val minAnswerTokens: Int = 20,
    public val maxAnswerTokens: Int = 300,
    public val loadLagMillis: Long = 100,
    public val cacheEventLagMillis: Long = 200,
    public val cacheEventLossPercent: Int = 1,
    public val modelLoadMillis: Long = 30_000,
    public val restartMillis: Long = 5_000,
    public val maxLoadedModels: Int = 1,
    public val checksFencing: Boolean = false,
    public val poisonMarker: String = "[poison]",
    public val timeScale: Double = 1.0,
    public val seed: Long = 1,
) {
    init {
        require(timeScale > 0) { "timeScale must be positive, was $timeScale" }
        require(maxRunningCalls > 0) { "maxRunningCalls must be positive, was $maxRunningCalls" }
        require(minAnswerTokens in 1..maxAnswerTokens) { "minAnswerTokens must be in 1..$maxAnswerTokens, was $minAnswerTokens" }
    }

    /** Converts simulated milliseconds to real nanoseconds. */
    internal fun realNanos(simulatedMillis: Double): Long = (simulatedMillis * 1e6 / timeScale).toLong()

    /** Converts simulated milliseconds to real milliseconds. */
    internal fun realMillis(simulatedMillis: Long): Long = (simulatedMillis / timeScale).toLong()
}

/** Injected faults of a stand-in engine, which can be changed at run time. For crashes see [EngineStandin.crash]. */
public class EngineFaults {
    /** The engine accepts every request and sends nothing. */
    @Volatile
    public var hang: Boolean = false

    /** The engine rejects new calls with status 429. */
    @Volatile
    public var busy: Boolean = false

    /** Streams stop sending after this many chunks of text, while their calls continue. Resumed streams are not affected. */
    @Volatile
    public var silentAfterChunks: Int? = null

    /** Applies [silentAfterChunks] to resumed streams too. */
    @Volatile
    public var silentOnResume: Boolean = false

    /** Multiplies the duration of each step. */
    @Volatile
    public var slowFactor: Double = 1.0

    /** Reported in load reports. */
    @Volatile
    public var leaving: Boolean = false
}
