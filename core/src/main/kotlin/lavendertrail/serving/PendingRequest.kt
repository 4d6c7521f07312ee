package lavendertrail.serving

/** A request between its arrival and its final answer. */
internal data class PendingRequest(
    val key: RequestKey,
    val request: CallerRequest,
    val route: Route,
    val service: ServiceSpec,
    val arrivedMillis: Long,
    val deadlineAtMillis: Long,
    val stage: Stage = Stage.PREPARING,
    val isFirstTurn: Boolean = false,
    /** Null on public routes, and where the configuration has no accounts. */
    val account: ClientAccount? = null,
    val permit: Permit? = null,
    val permitRequests: Int = 0,
    /** When the outstanding permit was requested; null if none is outstanding or it has lapsed. */
    val permitRequestedAtMillis: Long? = null,
    val awaitsQuota: Boolean = false,
    /** When the account has room for the request; null unless it waits for that. */
    val beginsAtMillis: Long? = null,
    val awaitsHistory: Boolean = false,
    val awaitsBudget: Boolean = false,
    val awaitsOrigin: Boolean = false,
    /** Whether the part of a resumed turn that its caller has is being looked up. */
    val awaitsPart: Boolean = false,
    /** The only servers that may handle the request, since the caller has events of theirs; null if it has none. */
    val requiredOrigin: StreamOrigin? = null,
    val isReserved: Boolean = false,
    /** The server of the session's last turn. */
    val recentServerId: String? = null,
    /** The server of the latest attempt, as it was listed then. */
    val sentTo: BackendServer? = null,
    val sentAtMillis: Long = 0,
    /** When the request could first be sent, before any wait for a permit. */
    val readyAtMillis: Long? = null,
    val triedServers: Set<String> = emptySet(),
    /** Attempts after which the request may have run. */
    val possiblyRunAttempts: Int = 0,
    val notRunAttempts: Int = 0,
    val isAnswerStarted: Boolean = false,
    val resumeAfterEventId: String? = null,
) {
    enum class Stage { PREPARING, SENT }

    val serverId: String? get() = sentTo?.id

    fun remainingMillis(nowMillis: Long): Long = deadlineAtMillis - nowMillis
}

/**
 * Permission to send a request to a server with a [RequestLimit] from [startsAtMillis] on. [promisedForMillis] is the earliest time
 * for which the pacer may have counted it.
 */
internal data class Permit(
    val serverId: String,
    val startsAtMillis: Long,
    val promisedForMillis: Long,
)
