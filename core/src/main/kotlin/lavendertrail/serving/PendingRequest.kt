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
    val awaitsHistory: Boolean = false,
    val awaitsBudget: Boolean = false,
    val isReserved: Boolean = false,
    /** The server of the session's last turn. */
    val recentServerId: String? = null,
    val serverId: String? = null,
    val sentAtMillis: Long = 0,
    val triedServers: Set<String> = emptySet(),
    /** Attempts after which the request may have run. */
    val possiblyRunAttempts: Int = 0,
    val notRunAttempts: Int = 0,
    val isAnswerStarted: Boolean = false,
    val resumeAfterEventId: String? = null,
) {
    enum class Stage { PREPARING, SENT }

    fun remainingMillis(nowMillis: Long): Long = deadlineAtMillis - nowMillis
}
