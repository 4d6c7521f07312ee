package lavendertrail.turns

/**
 * Which turn hosts have told this process what was reported about requests that crash servers, and on which connection. What they
 * send later arrives on the same connection, so that a meeting lasts as long as the connection.
 */
internal class HostMeetings {
    private val metConnections = HashMap<String, Any>()
    private val pending = HashSet<String>()

    /** The run of each turn host that knows what this process has reported. */
    private val runIds = HashMap<String, String>()

    class Meeting(
        val peer: TurnPeer,
    ) {
        /** The connection on which the call was made. */
        var connection: Any? = null
    }

    fun begin(peer: TurnPeer): Meeting {
        pending += peer.address
        return Meeting(peer)
    }

    /** Records the end of [meeting], which counts only if the connection is still the one of the call. */
    fun end(
        meeting: Meeting,
        isMet: Boolean,
    ) {
        pending -= meeting.peer.address
        val connection = meeting.connection ?: return
        if (isMet && meeting.peer.connection === connection) metConnections[meeting.peer.address] = connection
    }

    fun isPending(peer: TurnPeer): Boolean = peer.address in pending

    fun isMet(peer: TurnPeer): Boolean = peer.connection.let { it != null && it === metConnections[peer.address] }

    /** Whether [runId] isn't the run of [peer] that this process has reported to; it is from now on. */
    fun isNewRun(
        peer: TurnPeer,
        runId: String,
    ): Boolean = runIds.put(peer.address, runId) != runId

    fun forgetRun(address: String) {
        runIds.remove(address)
    }

    fun remove(peer: TurnPeer) {
        metConnections.remove(peer.address)
        pending.remove(peer.address)
        runIds.remove(peer.address)
    }
}
