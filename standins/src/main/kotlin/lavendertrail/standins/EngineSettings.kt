package lavendertrail.standins

import lavendertrail.model.ModelId
import lavendertrail.model.ServerId

/**
 * Speed and memory of a stand-in engine. Times are those of the model; [timeScale] 20 makes all of them 20 times shorter.
 * What goes over the wire is real time: pins, deadlines and the engine time of an answer.
 *
 * - A step gives each decoding call one token and takes `1 / decodeTokensPerSecond` seconds for one call and
 *   [decodeSlowdownPerCall] more of that for each further call: 50 tokens/s alone, 34 with 32 calls, which is the 29 ms
 *   between tokens that the two-year size asks for.
 * - [prefillTokensPerSecond] is shared by all prompts in the order of their admission; 8,000 is in the range of an 8 to 30
 *   billion parameter model on one accelerator.
 * - [cacheCapacityTokens] is the memory for prompts and answers: 400,000 tokens at about 130 KB each are 52 GB.
 * - [loadLagMillis] is how old a load report can be. A cache event shows after [cacheEventLagMillis], and
 *   [cacheEventLossPercent] of them never do.
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

    /** Real nanoseconds of [modelMillis]. */
    internal fun realNanos(modelMillis: Double): Long = (modelMillis * 1e6 / timeScale).toLong()

    internal fun realMillis(modelMillis: Long): Long = (modelMillis / timeScale).toLong()
}

/** Faults of a stand-in engine, switched at run time. Crashes are methods of [EngineStandin]. */
public class EngineFaults {
    /** Accepts every request and sends nothing. */
    @Volatile
    public var hang: Boolean = false

    /** Answers new calls with status 429. */
    @Volatile
    public var busy: Boolean = false

    /** Streams go silent after this many pieces of text; the calls run on. Streams that are resumed are not affected. */
    @Volatile
    public var silentAfterChunks: Int? = null

    /** Makes resumed streams silent too. */
    @Volatile
    public var silentOnResume: Boolean = false

    /** Multiplies the time of each step. */
    @Volatile
    public var slowFactor: Double = 1.0

    /** Shown in load reports. */
    @Volatile
    public var leaving: Boolean = false
}
