package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.ModelId
import lavendertrail.model.Usage

/** Prices of a model, and its expected speed on a single backend server. */
@Serializable
public data class ModelRecord(
    public val model: ModelId,
    public val prefillTokensPerSecond: Double = 8_000.0,
    public val decodeTokensPerSecond: Double = 34.0,
    public val promptMicrosPerKiloToken: Long = 500,
    public val cachedMicrosPerKiloToken: Long = 50,
    public val generatedMicrosPerKiloToken: Long = 1_500,
    public val transferTokensPerSecond: Double = 60_000.0,
    public val weightBytes: Long = 30_000_000_000,
    public val minServers: Int = 0,
) {
    /** Price of a call; each of the three parts is rounded up to a whole micro. */
    public fun costMicros(
        promptTokens: Long,
        cachedTokens: Long,
        generatedTokens: Long,
    ): Long =
        perKilo(promptTokens - cachedTokens, promptMicrosPerKiloToken) +
            perKilo(cachedTokens, cachedMicrosPerKiloToken) +
            perKilo(generatedTokens, generatedMicrosPerKiloToken)

    /** [usage] with its price. */
    public fun priced(usage: Usage): Usage =
        usage.copy(costMicros = costMicros(usage.promptTokens, usage.cachedTokens, usage.generatedTokens))

    private fun perKilo(
        tokens: Long,
        microsPerKiloToken: Long,
    ): Long = (tokens * microsPerKiloToken + 999) / 1_000
}
