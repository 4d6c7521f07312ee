package lavendertrail.ports

import com.github.michaelbull.result.Result
import lavendertrail.model.StepError
import lavendertrail.model.ToolId

/** A backend server that runs tools, or a plain service. */
public interface ToolService : AutoCloseable {
    public fun call(request: ToolRequest): Result<String, AttemptError>

    /** Status of the call with [key]; null if the service has never received it. */
    public fun status(key: String): Result<ToolStatus?, StepError>
}

public data class ToolRequest(
    public val tool: ToolId,
    public val key: String?,
    public val arguments: String,
    public val timeoutMillis: Long,
)

public data class ToolStatus(
    public val done: Boolean,
    public val answer: String?,
)
