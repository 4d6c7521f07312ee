package lavendertrail.http

import java.io.IOException

/**
 * A request that got no response. [sent] is false only if no byte of the request was written to a connection; [timedOut] is
 * true if the peer sent nothing within the idle limit, or no connection was established in time.
 */
public class HttpCallException(
    message: String,
    cause: Throwable,
    public val sent: Boolean,
    public val timedOut: Boolean,
) : IOException(message, cause)
