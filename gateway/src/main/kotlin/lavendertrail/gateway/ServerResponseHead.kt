package lavendertrail.gateway

import lavendertrail.serving.ReportedLoad

/** What the head of a backend server's answer says. */
public data class ServerResponseHead(
    val attemptId: String?,
    /** The answer bears the mark that shows that a server made it. */
    val isSigned: Boolean,
    /** The server states that it has not run the request. */
    val isNotRun: Boolean,
    /** Another server than the expected one answers at the address. */
    val isWrongServer: Boolean,
    val load: ReportedLoad?,
    /** How long the server keeps an idle connection; null where it doesn't say. */
    val keepAliveMillis: Long?,
)
