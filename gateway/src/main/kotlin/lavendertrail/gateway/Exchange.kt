package lavendertrail.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import lavendertrail.serving.BackendServer
import lavendertrail.serving.CallerRequest
import lavendertrail.serving.PlacementCause
import lavendertrail.serving.RequestKey
import lavendertrail.serving.SendToServer
import lavendertrail.turns.TurnRecord
import java.io.ByteArrayOutputStream

/** A caller's request and the state of its handling. Accessed only on the event loop. */
internal class Exchange(
    val key: RequestKey,
    val connection: CallerConnection,
    val head: HttpRequest,
    val body: ByteArray,
    val request: CallerRequest,
    val arrivedMillis: Long,
) {
    /** The turns that the request continues, oldest first. */
    var history: List<TurnRecord> = emptyList()
    var currentAttempt: ServerAttempt? = null
    var attemptCount = 0
    var lastServer: BackendServer? = null

    /** The caller's client account, as of the last decision about the request; null if it has or needs none. */
    var accountName: String? = null
    var lastPlacement: PlacementCause? = null
    var forwardedEvents = 0
    var lastEventId: String? = null
    var isResponseStarted = false

    /** When the origin of the stream is stored again, with the next event. */
    var storeOriginAtMillis = Long.MIN_VALUE

    /** Data of the forwarded events, each followed by a line feed; stored as the output of the turn. */
    val output = ByteArrayOutputStream()
    var firstEventAtMillis: Long? = null

    fun recordSend(effect: SendToServer) {
        attemptCount++
        lastServer = effect.server
        accountName = effect.accountName
        lastPlacement = effect.cause
    }

    fun addOutput(data: String) {
        output.write(data.toByteArray())
        output.write(LINE_FEED)
    }

    /** Lets the server send again once the caller has read what was sent so far. */
    fun resumeReading() {
        currentAttempt?.connection?.setReading(true)
    }

    private companion object {
        const val LINE_FEED = 10
    }
}

/** One attempt to have a server handle the request of an exchange. */
internal class ServerAttempt(
    val effect: SendToServer,
    val sentAtMillis: Long,
    /** Whether the caller has received a part of the stream from an earlier attempt. */
    val continuesStream: Boolean,
) {
    var connection: ServerConnection? = null
    var response: HttpResponse? = null
    var responseHead: ServerResponseHead? = null
    val eventParser = StreamEventParser()
    private var firstEventAtMillis = 0L
    private var lastEventAtMillis = 0L
    private var eventCount = 0
    val hasEvents: Boolean get() = eventCount > 0

    /** Mean time between events; null until [MIN_EVENTS] have arrived. */
    val eventGapMillis: Double?
        get() = if (eventCount < MIN_EVENTS) null else (lastEventAtMillis - firstEventAtMillis).toDouble() / (eventCount - 1)

    fun recordEvent(nowMillis: Long) {
        if (eventCount++ == 0) firstEventAtMillis = nowMillis
        lastEventAtMillis = nowMillis
    }

    val bufferedBody: ByteBuf = Unpooled.buffer()
    val keptBytes: Long get() = bufferedBody.capacity().toLong() + eventParser.partialEventBytes
    var isCancelled = false

    private companion object {
        /** Fewer events don't give a usable estimate of an engine's generation rate. */
        const val MIN_EVENTS = 3
    }
}
