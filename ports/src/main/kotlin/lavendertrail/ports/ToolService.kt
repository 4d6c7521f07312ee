package lavendertrail.ports

import com.github.michaelbull.result.Result
import lavendertrail.model.StepError
import lavendertrail.model.ToolId

/** A tool service or plain service. */
public interface ToolService : AutoCloseable {
    public fun call(request: ToolRequest): Result<String, AttemptError>

    /** What became of the call with [key]; null where the service has never seen it. */
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
