package lavendertrail.serving

/** What the serving part of a process learns. Requests are named by [RequestKey], unique within the process. */
public sealed interface ServingEvent

public typealias RequestKey = Long

public data class ConfigAccepted(
    val config: ServingConfig,
) : ServingEvent

/** The whole list of servers, read at once. Servers that it does not name are gone. */
public data class ServersListed(
    val servers: List<BackendServer>,
) : ServingEvent

public data class ServerChanged(
    val server: BackendServer,
) : ServingEvent

public data class ServerRemoved(
    val id: String,
) : ServingEvent

/** Whether the platform's store answers. While it does not, entries that it lost do not mean that servers are gone. */
public data class StoreReachabilityChanged(
    val isReachable: Boolean,
) : ServingEvent

public data class RequestArrived(
    val key: RequestKey,
    val request: CallerRequest,
) : ServingEvent

public data class HistoryLoaded(
    val key: RequestKey,
    val result: HistoryResult,
) : ServingEvent

/** [recentServerId] names the server of the session's last turn, which probably has its prompt cached. */
public data class TokensReserved(
    val key: RequestKey,
    val result: ReservationResult,
    val recentServerId: String? = null,
) : ServingEvent

/** The first byte of the server's answer has arrived. */
public data class AnswerStarted(
    val key: RequestKey,
    val load: ReportedLoad?,
) : ServingEvent

/**
 * A sending to a server ended. [lastEventId] names the last event of a stream that reached the caller, [isAnswerStarted]
 * tells whether the caller has got any part of an answer, and [detail] is for the log.
 */
public data class AttemptEnded(
    val key: RequestKey,
    val outcome: AttemptOutcome,
    val load: ReportedLoad? = null,
    val lastEventId: String? = null,
    val isAnswerStarted: Boolean = false,
    val detail: String = "",
    /** Mean time between the events of a stream of several; null for other answers. */
    val eventGapMillis: Double? = null,
) : ServingEvent

public data class CallerDisconnected(
    val key: RequestKey,
) : ServingEvent

/** Time has passed; raised several times a second. */
public data object ClockTicked : ServingEvent
