package lavendertrail.serving

/** Why lavendertrail rejects a request with an answer of its own. */
public enum class RejectReason(
    /** Whether the answer guarantees that the request has not run and never will. */
    public val isNotRun: Boolean,
) {
    MALFORMED(isNotRun = true),
    NO_ROUTE(isNotRun = true),
    NO_CONFIGURATION(isNotRun = true),

    /** No account holds the caller's key, or there is none. */
    UNKNOWN_KEY(isNotRun = true),

    /** The accounts may have changed without this host having heard of it. */
    KEY_UNCERTAIN(isNotRun = true),

    /** The client account has used up the limit of its requests. */
    QUOTA_SPENT(isNotRun = true),

    /** The host that decides about the account's limit doesn't answer. */
    QUOTA_UNCERTAIN(isNotRun = true),
    UNKNOWN_TURN(isNotRun = true),
    TURN_UNCERTAIN(isNotRun = true),
    BUDGET_SPENT(isNotRun = true),
    BUDGET_UNCERTAIN(isNotRun = true),
    NO_SERVER(isNotRun = true),

    /** The request continues a stream, and it is not known which servers began it. */
    STREAM_ORIGIN_UNKNOWN(isNotRun = true),

    /** The request continues a stream, and no server of the version that began it is left. */
    STREAM_VERSION_GONE(isNotRun = true),

    /** The request continues a turn, and what its caller has of the turn's output is not known. */
    STREAM_PART_UNKNOWN(isNotRun = true),
    OVERLOADED(isNotRun = true),

    /** Servers crashed whenever they ran the request. */
    CRASHES_SERVERS(isNotRun = true),
    DEADLINE_PASSED(isNotRun = true),

    /** The process stops before the request must have ended. */
    STOPPING(isNotRun = true),
    SERVER_FAILED(isNotRun = false),
    TIMED_OUT(isNotRun = false),
}
