package lavendertrail.reducer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId
import lavendertrail.model.Usage

/** Load of a backend server as it reports it itself, at [measuredMillis] by the reporter's clock. */
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

/** The backend server gave the whole answer. */
@Serializable
public data class CallCompleted(
    public val call: CallId,
    public val attempt: Int,
    public val text: String,
    public val usage: Usage,
    public val load: ServerLoad? = null,
) : Event

/** How an attempt of a call failed; the kind decides about retry and blame. */
@Serializable
public enum class AttemptFailure {
    /** Nothing was handed to a connection, or the server said that it rejected the call. */
    @SerialName("rejected")
    REJECTED,

    /** The server is at its limit and said so. */
    @SerialName("busy")
    BUSY,

    /** The connection broke or the server died while the call ran. */
    @SerialName("connectionLost")
    CONNECTION_LOST,

    /** No byte for the stream's idle limit, on a fresh connection too. */
    @SerialName("idle")
    IDLE,

    @SerialName("deadline")
    DEADLINE,

    /** The server executed the call and answered with an error. */
    @SerialName("error")
    ERROR,

    /** A resume was asked for and the server does not know the call. */
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

/** The server's process is gone or came back with another [incarnation]; its cache is empty then. */
@Serializable
public data class ServerReachability(
    public val server: ServerId,
    public val reachable: Boolean,
    public val incarnation: String? = null,
) : Event

/** A prefix entered or left the cache of a model engine. */
@Serializable
public data class CacheEvent(
    public val chainHash: String,
    public val tokens: Int,
    public val stored: Boolean,
)

/** Cache events of one server. [gap] is true where events before these were lost. */
@Serializable
public data class CacheEventsReceived(
    public val server: ServerId,
    public val events: List<CacheEvent>,
    public val gap: Boolean,
) : Event

/** The platform's list of live and leaving hosts. Servers that it doesn't name are gone. */
@Serializable
public data class HostListReceived(
    public val live: Set<ServerId>,
    public val leaving: Set<ServerId>,
) : Event

/** Pins that a model engine holds, for the sweep. */
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

/** Crash counts that other nodes know of. */
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

/** An order about weights or role ended. */
@Serializable
public data class ModelOrderEnded(
    public val server: ServerId,
    public val model: ModelId,
    public val done: Boolean,
    public val message: String,
) : Event

/** Where the stream of a recovered call runs; null where no engine has it. Answers [FindStream]. */
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
 * step is sent when the copy has ended, however it ended.
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

/** Orders a model engine to load [model]; [fencingToken] is the epoch of the region's controller. */
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
