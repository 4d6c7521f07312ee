package lavendertrail.gateway

import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import lavendertrail.serving.CallerRequest
import lavendertrail.serving.RequestKey
import lavendertrail.serving.SendToServer
import lavendertrail.turns.TurnRecord
import java.io.ByteArrayOutputStream

/** A caller's request and what has come of it so far. All access is on the event loop. */
internal class Exchange(
    val key: RequestKey,
    val connection: CallerConnection,
    val head: HttpRequest,
    val body: ByteArray,
    val request: CallerRequest,
    val arrivedMillis: Long,
) {
    /** The turns that the request continues from, oldest first. */
    var history: List<TurnRecord> = emptyList()
    var sending: Sending? = null
    var sends = 0
    var lastServerId: String? = null
    var eventsPassed = 0
    var lastEventId: String? = null
    var isAnswerStarted = false

    /** Data of the events that were passed on, a line feed after each; becomes part of the turn. */
    val output = ByteArrayOutputStream()
    var firstByteMillis: Long? = null
}

/** One sending of an exchange's request to a server. */
internal class Sending(
    val effect: SendToServer,
    val sentAtMillis: Long,
) {
    var connection: ServerConnection? = null
    var head: HttpResponse? = null
    var answer: ServerResponseHead? = null
    val events = StreamEvents()
    private var firstEventMillis = 0L
    private var lastEventMillis = 0L
    private var eventCount = 0

    /** Mean time between events; null before there are several. */
    val eventGapMillis: Double?
        get() = if (eventCount < MIN_EVENTS) null else (lastEventMillis - firstEventMillis).toDouble() / (eventCount - 1)

    fun eventArrived(nowMillis: Long) {
        if (eventCount++ == 0) firstEventMillis = nowMillis
        lastEventMillis = nowMillis
    }

    val content = ByteArrayOutputStream()
    var isGivenUp = false

    private companion object {
        /** Fewer events say little about an engine's pace. */
        const val MIN_EVENTS = 3
    }
}
