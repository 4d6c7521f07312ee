package lavendertrail.ports

import com.github.michaelbull.result.Result
import lavendertrail.model.CallId
import lavendertrail.model.Message
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.model.StepError
import lavendertrail.reducer.CacheEvent
import lavendertrail.reducer.ServerLoad

/** One model engine. All functions block; [generate] is called from a dedicated thread. */
public interface ModelEngine : AutoCloseable {
    /** Runs a call and passes each piece of text to [onText] as it arrives. The answer is the concatenation of these pieces. */
    public fun generate(
        request: GenerateRequest,
        onText: (String) -> Unit,
    ): Result<Generated, AttemptError>

    /** Whether the engine has the stream of [call], still running or recently ended. */
    public fun hasStream(call: CallId): Result<Boolean, StepError>

    public fun cancel(call: CallId): Result<Unit, StepError>

    public fun load(): Result<ServerLoad, StepError>

    /** Cache events after [afterSequence]. A gap in the sequence means that events were lost. */
    public fun cacheEvents(afterSequence: Long): Result<CacheEventBatch, StepError>

    /** Keeps the cache of [program]'s last prompt for [pinMillis]. */
    public fun pin(
        program: ProgramId,
        pinMillis: Long,
    ): Result<Unit, StepError>

    public fun release(program: ProgramId): Result<Unit, StepError>

    public fun pins(): Result<Set<ProgramId>, StepError>

    public fun exportCache(program: ProgramId): Result<ExportedCache, StepError>

    public fun importCache(cache: ExportedCache): Result<Unit, StepError>

    public fun loadModel(
        model: ModelId,
        fencingToken: Long,
    ): Result<Unit, StepError>
}

/**
 * [chainHashes] identify the prefixes of the prompt, one per message. With [resume] the engine only continues a stream that it
 * has and starts no new one.
 */
public data class GenerateRequest(
    public val call: CallId,
    public val attempt: Int,
    public val model: ModelId,
    public val messages: List<Message>,
    public val chainHashes: List<String>,
    public val maxTokens: Int,
    public val temperature: Double,
    public val priority: Int,
    public val deadlineMillis: Long,
    public val idleLimitMillis: Long,
    public val resume: Boolean = false,
    public val pinMillis: Long = 0,
)

public data class Generated(
    public val promptTokens: Long,
    public val cachedTokens: Long,
    public val generatedTokens: Long,
    public val engineMillis: Long,
    public val load: ServerLoad?,
)

public data class CacheEventBatch(
    public val events: List<CacheEvent>,
    public val firstSequence: Long,
    public val lastSequence: Long,
    public val incarnation: String,
)

/** Cache of a prompt that is transferred between two engines. */
public data class ExportedCache(
    public val program: ProgramId,
    public val chainHashes: List<String>,
    public val tokens: Long,
)
