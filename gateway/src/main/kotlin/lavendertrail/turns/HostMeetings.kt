package lavendertrail.turns

import com.github.michaelbull.result.fold
import lavendertrail.model.StepError
import lavendertrail.serving.CrashEvidence

/**
 * Asks turn hosts what was reported about requests that crash servers, and remembers on which connection each has answered. What a
 * turn host sends later arrives on the same connection, so that a meeting lasts as long as the connection.
 */
internal class HostMeetings(
    private val onRelayAddresses: (List<String>) -> Unit,
    private val onCrashEvidenceLearnt: (List<CrashEvidence>) -> Unit,
    private val onCrashReportsMissed: (address: String) -> Unit,
    private val onCallFailure: (StepError) -> Unit,
) {
    private val metConnections = HashMap<String, Any>()
    private val pending = HashSet<String>()

    /** The run of each turn host that knows what this process has reported. */
    private val runIds = HashMap<String, String>()

    fun isPending(peer: TurnPeer): Boolean = peer.address in pending

    fun isMet(peer: TurnPeer): Boolean = peer.connection.let { it != null && it === metConnections[peer.address] }

    /** Announces [relayAddress], which is empty while nothing listens there. Calls [onMet] after the reply or a failure. */
    fun meet(
        peer: TurnPeer,
        relayAddress: String,
        onMet: () -> Unit,
    ) {
        val address = peer.address
        // The call opens a connection if there is none.
        var connectionOfCall: Any? = null
        pending += address
        peer.call(TurnMethods.meet, MeetRequest(relayAddress, isFirst = !isMet(peer)), TIMEOUT_MILLIS) { result ->
            pending -= address
            val connection = connectionOfCall
            // A host that answers with a failure has nothing to tell, and must not be waited for.
            val hasAnswered = result.isOk || !peer.isUnresponsive
            // A call that was repeated on another connection has missed what the host sent on the first one.
            if (hasAnswered && connection != null && peer.connection === connection) metConnections[address] = connection
            result.fold({ accept(address, it) }, onCallFailure)
            onMet()
        }
        connectionOfCall = peer.connection
    }

    private fun accept(
        address: String,
        reply: MeetReply,
    ) {
        onRelayAddresses(reply.relayAddresses)
        if (reply.crashEvidence.isNotEmpty()) onCrashEvidenceLearnt(reply.crashEvidence)
        if (runIds.put(address, reply.runId) != reply.runId) onCrashReportsMissed(address)
    }

    /** Notes that the turn host at [address] has missed a report, so that the next meeting counts as one with a new run. */
    fun forgetRun(address: String) {
        runIds.remove(address)
    }

    fun remove(peer: TurnPeer) {
        metConnections.remove(peer.address)
        pending.remove(peer.address)
        runIds.remove(peer.address)
    }

    private companion object {
        /** Allows for a process that has just started, as the limit for newly started hosts does; see [TurnPeer.isUnresponsive]. */
        const val TIMEOUT_MILLIS = 1_000L
    }
}
