package lavendertrail.ports

import lavendertrail.model.StepError
import lavendertrail.reducer.AttemptFailure

/**
 * Failure of an attempt at a backend server. [promptTokens], [cachedTokens] and [generatedTokens] are the usage that the server
 * reported.
 */
public data class AttemptError(
    public val failure: AttemptFailure,
    public val error: StepError,
    public val promptTokens: Long = 0,
    public val cachedTokens: Long = 0,
    public val generatedTokens: Long = 0,
)
