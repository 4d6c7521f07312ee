package lavendertrail.reducer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId
import lavendertrail.model.Usage

/** Load of a backend server, as reported by the server itself. */
@Serializable
public data class ServerLoad(
    public val runningCalls: Int,
    public val waitingCalls: Int,
    public val waitingPromptTokens: Int,
    public val usedCacheTokens: Long,
    public val capacityCacheTokens: Long,
    public val leaving: Boolean = false,
    public val loadedModels: List<ModelId> = emptyList(),
)

@Serializable
public data class CallFirstToken(
    public val call: CallId,
    public val attempt: Int,
) : Event

/** The backend server returned the complete answer. */
@Serializable
public data class CallCompleted(
    public val call: CallId,
    public val attempt: Int,
    public val text: String,
    public val usage: Usage,
    public val load: ServerLoad? = null,
) : Event

/** How an attempt of a call failed. Determines whether the call is retried and what the failure is attributed to. */
@Serializable
public enum class AttemptFailure {
    /** Nothing was passed to a connection, or the server reported that it rejected the call. */
    @SerialName("rejected")
    REJECTED,

    /** The server reported that it is at capacity. */
    @SerialName("busy")
    BUSY,

    /** The connection broke or the server died while the call ran. */
    @SerialName("connectionLost")
    CONNECTION_LOST,

    /** No byte arrived within the stream's idle timeout, on a new connection either. */
    @SerialName("idle")
    IDLE,

    @SerialName("deadline")
    DEADLINE,

    /** The server executed the call and answered with an error. */
    @SerialName("error")
    ERROR,

    /** The attempt asked to resume a stream, and the server does not know the call. */
    @SerialName("unknownStream")
    UNKNOWN_STREAM,
}

@Serializable
public data class CallAttemptFailed(
    public val call: CallId,
    public val attempt: Int,
    public val failure: AttemptFailure,
    public val message: String,
    public val usage: Usage? = null,
) : Event

@Serializable
public data class ServerLoadReported(
    public val server: ServerId,
    public val load: ServerLoad,
) : Event

/** Whether a server's process can be reached. A process that is gone, or that restarted with another [incarnation], has lost its cache. */
@Serializable
public data class ServerReachability(
    public val server: ServerId,
    public val reachable: Boolean,
    public val incarnation: String? = null,
) : Event

/** A prompt prefix was added to the cache of a model engine if [stored], else removed from it. */
@Serializable
public data class CacheEvent(
    public val chainHash: String,
    public val tokens: Int,
    public val stored: Boolean,
)

/** Cache events of one server. [gap] is true where earlier events were lost. */
@Serializable
public data class CacheEventsReceived(
    public val server: ServerId,
    public val events: List<CacheEvent>,
    public val gap: Boolean,
) : Event

/** The platform's list of live hosts and of hosts that are leaving. Servers in neither set no longer exist. */
@Serializable
public data class HostListReceived(
    public val live: Set<ServerId>,
    public val leaving: Set<ServerId>,
) : Event

/** Programs whose caches a model engine has pinned, so that pins of ended programs can be released. */
@Serializable
public data class PinsReported(
    public val server: ServerId,
    public val programs: Set<ProgramId>,
) : Event

/** An operator lifts the quarantine of a poison request. */
@Serializable
public data class PoisonLifted(
    public val fingerprint: String,
) : Event

/** Crash counts of poison requests that other nodes have recorded. */
@Serializable
public data class PoisonLearned(
    public val marks: List<PoisonMark>,
) : Event

@Serializable
public data class PoisonMark(
    public val fingerprint: String,
    public val crashes: Int,
    public val crashedServers: Set<ServerId>,
    public val lastCrashMillis: Long,
)

/** A [LoadModel] command ended; [done] tells whether it succeeded. */
@Serializable
public data class ModelOrderEnded(
    public val server: ServerId,
    public val model: ModelId,
    public val done: Boolean,
    public val message: String,
) : Event

/** Result of [FindStream]: the server that runs the stream of a recovered call, or null where no engine has it. */
@Serializable
public data class StreamFound(
    public val call: CallId,
    public val server: ServerId?,
) : Event

/** Asks each of [servers] whether it has the stream of [call]. */
public data class FindStream(
    public val call: CallId,
    public val servers: List<ServerId>,
) : Effect

/**
 * Sends one attempt of a call to [server]. With [resume] a model engine continues a stream that it already has, and a
 * tool service is only asked for the state of the call with [key]. [promptChain] is that of the [DispatchCall]; engines
 * name cached prefixes by its hashes.
 */
public data class StartAttempt(
    public val call: CallId,
    public val attempt: Int,
    public val server: ServerId,
    public val body: CallBody,
    public val key: String?,
    public val priority: Int,
    public val deadlineMillis: Long,
    public val resume: Boolean,
    public val pinMillis: Long,
    public val promptChain: List<PromptPrefix> = emptyList(),
) : Effect

public data class CancelAttempt(
    public val call: CallId,
    public val attempt: Int,
    public val server: ServerId,
) : Effect

public data class ReleaseCache(
    public val server: ServerId,
    public val program: ProgramId,
) : Effect

/**
 * Copies the cache of a program's prompt from one server to another. A [StartAttempt] of the program to [to] in the same
 * step is sent once the copy has ended, successfully or not.
 */
public data class TransferCache(
    public val program: ProgramId,
    public val from: ServerId,
    public val to: ServerId,
    public val tokens: Int,
) : Effect

/** Keeps [program]'s cache at [server] for [pinMillis] during a tool pause. */
public data class PinCache(
    public val server: ServerId,
    public val program: ProgramId,
    public val pinMillis: Long,
) : Effect

public data class PollLoad(
    public val server: ServerId,
) : Effect

public data class ListPins(
    public val server: ServerId,
) : Effect

/** Makes a model engine load [model]; [fencingToken] is the epoch of the region's controller. */
public data class LoadModel(
    public val server: ServerId,
    public val model: ModelId,
    public val fencingToken: Long,
) : Effect

/**
 * Makes a crash count durable, so that it survives the loss of this node. A mark with 0 crashes clears the fingerprint:
 * it replaces a record whose last crash is not later than its own time.
 */
public data class SavePoisonMark(
    public val mark: PoisonMark,
) : Effect
