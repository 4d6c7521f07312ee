package lavendertrail.ports

import lavendertrail.model.StepError
import lavendertrail.reducer.AttemptFailure

/** How an attempt at a backend server failed. [promptTokens] to [generatedTokens] are what the server says it used. */
public data class AttemptError(
    public val failure: AttemptFailure,
    public val error: StepError,
    public val promptTokens: Long = 0,
    public val cachedTokens: Long = 0,
    public val generatedTokens: Long = 0,
)
