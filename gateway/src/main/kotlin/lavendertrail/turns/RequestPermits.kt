package lavendertrail.turns

import lavendertrail.serving.RequestPacer

/**
 * Decides at a turn host which requests entry hosts may send to servers with a request limit. The state is not stored: after a
 * restart, entry hosts report the limits again, and at most one burst is handed out twice. [shareOf] is the part of a server's limit
 * that this host may hand out.
 */
internal class RequestPermits(
    private val nowMillis: () -> Long,
    private val shareOf: (serverId: String) -> Double = { 1.0 },
) {
    private var pacer = RequestPacer()

    /** Limits of servers that are in force. */
    val limits get() = pacer.statedLimits(nowMillis())

    fun decide(
        request: PermitRequest,
        entryHostCount: Int,
    ): PermitReply {
        val now = nowMillis()
        val (next, decision) = pacer.record(request.limits, now).decide(request.candidates, request.maxWaitMillis, now, shareOf)
        pacer = next
        return PermitReply(decision, entryHostCount)
    }
}
