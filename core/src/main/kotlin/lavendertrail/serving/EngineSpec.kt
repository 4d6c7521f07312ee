package lavendertrail.serving

/** Properties shared by all model engines of a service. Each event of a stream represents [tokensPerEvent] generated tokens. */
public data class EngineSpec(
    val slots: Int,
    val memoryTokens: Long,
    val tokensPerEvent: Int,
)
