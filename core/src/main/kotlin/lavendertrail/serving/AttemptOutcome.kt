package lavendertrail.serving

/** How one attempt to run a request on a backend server ended. */
public enum class AttemptOutcome {
    /** The caller received the server's complete answer. */
    ANSWERED,

    /** The server reported that it did not run the request. */
    NOT_RUN,

    /** No connection to the server could be opened, so no byte of the request has reached it. */
    UNREACHABLE,

    /** The server was withdrawn before the request was written to it, so no byte of the request has reached it. */
    WITHDRAWN,

    /** Another server answered at this address; the request was not run. */
    WRONG_SERVER,

    /** The connection was closed or carried invalid bytes after the request was sent, so the request may have run. */
    BROKEN,

    /** The server's answer was complete, but the turn could not be stored, so the caller must not receive the complete answer. */
    NOT_KEPT,
}
