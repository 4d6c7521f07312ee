package lavendertrail.serving

/**
 * The parts of a caller's request that serving decisions depend on.
 *
 * [attemptId] identifies the caller's attempt: it is new for each retry by the caller, and stays the same for all attempts that
 * the entry host makes at servers. [deadlineMillis] is how long the caller waits, and [programDeadlineMillis] how long until its
 * whole program should be finished; both count from the arrival.
 */
public data class CallerRequest(
    val attemptId: String,
    val method: String,
    val host: String,
    val target: String,
    val deadlineMillis: Long? = null,
    val affinityKey: String? = null,
    val promptTokens: Int = 0,
    val maxOutputTokens: Int = 0,
    val promptParts: List<PromptPart> = emptyList(),
    val resumeAfterEventId: String? = null,
    /** The caller's attempt that brought the first event of the stream that this request resumes. */
    val resumedAttemptId: String? = null,
    val programId: String? = null,
    val sessionId: String? = null,
    val programDeadlineMillis: Long? = null,
    val tokenBudget: Int? = null,
    val previousTurnId: String? = null,
    /** See [requestFingerprint]; null if it isn't known. */
    val fingerprint: String? = null,
    /** The key by which the caller names its account. */
    val accountKey: AccountKey? = null,
) {
    val path: String get() = target.substringBefore('?')

    /** This request [millis] after it was sent, for a request that waited before its handling began. */
    public fun withElapsed(millis: Long): CallerRequest = copy(deadlineMillis = deadlineMillis?.minus(millis))
}
