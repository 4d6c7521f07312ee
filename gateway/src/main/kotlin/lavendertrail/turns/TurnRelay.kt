package lavendertrail.turns

import com.github.michaelbull.result.fold

/**
 * Passes calls of other entry hosts on to the hosts with disks. Only hosts that answer this process itself are called, so
 * that a call is never relayed twice.
 */
internal class TurnRelay(
    private val answeringPeer: (address: String) -> TurnPeer?,
) {
    fun pass(
        request: RelayRequest,
        onReply: (RelayReply) -> Unit,
    ) {
        val peer = answeringPeer(request.hostAddress)
        val method = TurnMethods.relayed[request.method]
        if (peer == null || method == null) return onReply(RelayReply(null))
        peer.call(method, request.request, LIMIT_MILLIS) { result -> onReply(RelayReply(result.fold({ it }, { null }))) }
    }

    private companion object {
        /** Below the callers' own limits, so that they still have time for another host. */
        const val LIMIT_MILLIS = 600L
    }
}
