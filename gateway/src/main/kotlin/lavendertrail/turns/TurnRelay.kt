package lavendertrail.turns

import com.github.michaelbull.result.fold

/**
 * Forwards calls of other entry hosts to the turn hosts. Only hosts that respond to this process directly are called, so that
 * a call is never relayed twice.
 */
internal class TurnRelay(
    private val findResponsivePeer: (address: String) -> TurnPeer?,
) {
    fun forward(
        request: RelayRequest,
        onReply: (RelayReply) -> Unit,
    ) {
        val peer = findResponsivePeer(request.hostAddress)
        val method = TurnMethods.relayable[request.method]
        if (peer == null || method == null) return onReply(RelayReply(null))
        var newerList: TurnHostListing? = null
        peer.call(method, request.request, CALL_TIMEOUT_MILLIS, request.listRevision, { newerList = it }) { result ->
            onReply(RelayReply(result.fold({ it }, { null }), newerList?.toBytes()))
        }
    }

    private companion object {
        /** Shorter than the timeouts of the calling entry hosts, which leaves them time to try another host. */
        const val CALL_TIMEOUT_MILLIS = 600L
    }
}
