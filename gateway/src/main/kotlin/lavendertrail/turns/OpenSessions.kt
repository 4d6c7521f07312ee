package lavendertrail.turns

import io.grpc.MethodDescriptor

/** The sessions of other hosts that are open at this host, over which it may send messages that nobody asked for. */
internal class OpenSessions {
    private val sessions = LinkedHashSet<ServedSession>()

    fun add(session: ServedSession) {
        sessions += session
    }

    fun remove(session: ServedSession) {
        sessions -= session
    }

    /** Sends [message] as a request of [method] that gets no reply. Hosts that don't know the method ignore it. */
    fun <Q : Any> push(
        method: MethodDescriptor<Q, *>,
        message: Q,
    ) {
        val frame = CallFrame(PUSHED_CALL_ID, method.bareMethodName.orEmpty(), method.streamRequest(message).readAllBytes())
        sessions.toList().forEach { it.push(frame) }
    }
}

/** The call id of a frame that is not a reply; call ids count from 0. */
internal const val PUSHED_CALL_ID = -1L
