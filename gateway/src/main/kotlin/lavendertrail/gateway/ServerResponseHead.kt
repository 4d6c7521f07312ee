package lavendertrail.gateway

import lavendertrail.serving.ReportedLoad

/** The decoded status line and headers of a backend server's response. */
public data class ServerResponseHead(
    val attemptId: String?,
    /** Whether the response has the header that marks responses of backend servers; its value is not checked. */
    val hasServerMark: Boolean,
    /** Whether the server states that it has not run the request. */
    val isNotRun: Boolean,
    /** Whether a server other than the expected one responded at the address. */
    val isWrongServer: Boolean,
    /** Whether the server states that it leaves. */
    val isLeaving: Boolean = false,
    val load: ReportedLoad?,
    /** How many requests a second the server accepts from all entry hosts together; null if it states no limit. */
    val requestsPerSecondLimit: Double? = null,
    /** How long the server keeps an idle connection open; null if it doesn't state a timeout. */
    val keepAliveMillis: Long?,
)
