package lavendertrail.serving

/** Input of the serving reducer. Requests are identified by [RequestKey], unique within the process. */
public sealed interface ServingEvent

public typealias RequestKey = Long

public data class ConfigAccepted(
    val config: ServingConfig,
) : ServingEvent

/** The complete list of servers. Servers that it does not contain no longer exist. */
public data class ServersListed(
    val servers: List<BackendServer>,
) : ServingEvent

public data class ServerChanged(
    val server: BackendServer,
) : ServingEvent

/** [mayHaveExpired] is false where an entry is there, but names no usable server. */
public data class ServerRemoved(
    val id: String,
    val mayHaveExpired: Boolean = true,
) : ServingEvent

/** Whether the platform's store is reachable. While it is not, a missing entry does not mean that the server is gone. */
public data class StoreReachabilityChanged(
    val isReachable: Boolean,
) : ServingEvent

/** The platform's store has reported all its changes up to now, so that no older configuration is in force here. */
public data object StoreHeard : ServingEvent

/**
 * The client accounts known here are those of the platform's store at [askedAtMillis], by the clock of the reducer, or later: the store
 * has reported all its changes in an answer to a question that was asked then.
 */
public data class AccountsConfirmed(
    val askedAtMillis: Long,
) : ServingEvent

public data class RequestArrived(
    val key: RequestKey,
    val request: CallerRequest,
) : ServingEvent

public data class HistoryLoaded(
    val key: RequestKey,
    val result: HistoryResult,
) : ServingEvent

/** [recentServerId] is the server of the session's last turn, which probably has its prompt cached. */
public data class TokensReserved(
    val key: RequestKey,
    val result: ReservationResult,
    val recentServerId: String? = null,
) : ServingEvent

/** [origin] is null if no turn host has it; [isCertain] tells whether enough of them have answered to know that none has. */
public data class StreamOriginLoaded(
    val key: RequestKey,
    val origin: StreamOrigin?,
    val isCertain: Boolean,
) : ServingEvent

/** Answers [LoadStreamPart]. */
public data class StreamPartLoaded(
    val key: RequestKey,
    val result: StreamPartResult,
) : ServingEvent

/** The first byte of the server's answer has arrived. */
public data class AnswerStarted(
    val key: RequestKey,
    val load: ReportedLoad?,
    /** The limit that the answer states, in requests a second; see [RequestLimit]. */
    val requestsPerSecondLimit: Double? = null,
) : ServingEvent

/** [server] has said in its answer to the request [key] that it leaves. */
public data class ServerLeavingSeen(
    val key: RequestKey,
    val server: BackendServer,
) : ServingEvent

/**
 * An attempt at a server ended. [lastEventId] is the last event of a stream that reached the caller, [isAnswerStarted] tells
 * whether the caller has received any part of an answer, and [detail] is for the log.
 */
public data class AttemptEnded(
    val key: RequestKey,
    val outcome: AttemptOutcome,
    val load: ReportedLoad? = null,
    val lastEventId: String? = null,
    val isAnswerStarted: Boolean = false,
    val detail: String = "",
    /** Mean time between the events of a stream with several events; null for other answers. */
    val eventGapMillis: Double? = null,
    /** When the first event of a stream arrived, by the clock of the reducer. */
    val firstEventAtMillis: Long? = null,
    /** The limit that a refusal states, in requests a second; see [RequestLimit]. Other answers state it as they start. */
    val requestsPerSecondLimit: Double? = null,
    /** Whether the server has answered, although its answer couldn't be used. */
    val isServerAlive: Boolean = false,
) : ServingEvent

/**
 * Answers [AskQuota]. [decision] is null if the host that decides for the account didn't answer, or isn't known to be the only one.
 * [entryHostCount] is the number of entry hosts that it knows.
 */
public data class QuotaDecided(
    val key: RequestKey,
    val accountName: String,
    val decision: QuotaDecision?,
    val entryHostCount: Int? = null,
) : ServingEvent

/** [decision] is null if no pacer could be reached. [entryHostCount] is the number of entry hosts that the pacer knows. */
public data class PermitDecided(
    val key: RequestKey,
    val candidates: List<PermitCandidate>,
    val maxWaitMillis: Long,
    val decision: PermitDecision?,
    val entryHostCount: Int? = null,
) : ServingEvent

/** Other entry hosts have learnt [limits] from answers of servers. */
public data class RequestLimitsLearnt(
    val limits: List<StatedLimit>,
) : ServingEvent

/** Other entry hosts have seen [evidence] about requests that may crash servers. */
public data class CrashEvidenceLearnt(
    val evidence: List<CrashEvidence>,
) : ServingEvent

/**
 * Whether the turn hosts have been asked what other entry hosts have reported about requests that may crash servers. Requests that
 * arrive soon after the start of the process wait for it.
 */
public data class CrashReportsKnown(
    val areKnown: Boolean,
) : ServingEvent

/** The turn host at [address] has started, or has missed reports, and may know nothing about requests that crash servers. */
public data class CrashReportsMissed(
    val address: String,
) : ServingEvent

/** The process stood still, or its clock doesn't show for how long; permissions with a time limit may have run out. */
public data object ProcessPaused : ServingEvent

public data class CallerDisconnected(
    val key: RequestKey,
) : ServingEvent

/** The process stops, and requests must be answered until [endsAtMillis]. */
public data class StopAnnounced(
    val endsAtMillis: Long,
) : ServingEvent

/** Time has passed; raised several times a second. */
public data object ClockTicked : ServingEvent
