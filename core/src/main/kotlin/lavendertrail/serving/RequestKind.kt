package lavendertrail.serving

/** How often a request may run. */
public enum class RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** Runs at most once for each request that a caller sends. */
    NON_IDEMPOTENT,

    /** Answered as a series of events. Runs at most once, unless the route says that it can be resumed. */
    STREAM,
}
