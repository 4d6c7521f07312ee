package lavendertrail.http

import java.io.IOException

/**
 * A request without an answer. [sent] is false only where no byte of the request reached a connection; [timedOut] tells
 * that the peer was silent for the idle limit, or could not be connected to in time.
 */
public class HttpCallException(
    message: String,
    cause: Throwable,
    public val sent: Boolean,
    public val timedOut: Boolean,
) : IOException(message, cause)
