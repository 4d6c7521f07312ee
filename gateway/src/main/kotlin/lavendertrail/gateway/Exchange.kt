package lavendertrail.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import lavendertrail.serving.BackendServer
import lavendertrail.serving.CallerRequest
import lavendertrail.serving.OriginLease
import lavendertrail.serving.PlacementCause
import lavendertrail.serving.RequestKey
import lavendertrail.serving.SendToServer
import lavendertrail.turns.TurnRecord

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

    /** The output of the turn, on routes where turns are stored. */
    val output = TurnOutput()

    /** Under which id and for how long the turn is stored if it ends early; null where its caller can't resume it. */
    var streamLease: OriginLease? = null
        private set

    /** Whether [output] began with what the caller has from earlier attempts. */
    var hasEarlierPart = false
        private set

    /** Whether the turn has ended early and was handed over to be stored. */
    var isUnfinishedStored = false
    var firstEventAtMillis: Long? = null

    fun recordSend(effect: SendToServer) {
        attemptCount++
        lastServer = effect.server
        accountName = effect.accountName
        lastPlacement = effect.cause
        streamLease = effect.originLease.takeIf { effect.turnRetentionMillis != null }
    }

    /** Continues the turn of which the caller has [part]. */
    fun beginWith(part: TurnRecord) {
        hasEarlierPart = true
        output.addEarlier(part)
        lastEventId = request.resumeAfterEventId
    }

    /** Lets the server send again once the caller has read what was sent so far. */
    fun resumeReading() {
        currentAttempt?.connection?.setReading(true)
    }
}

/** One attempt to have a server handle the request of an exchange. */
internal class ServerAttempt(
    val effect: SendToServer,
    val sentAtMillis: Long,
    /** Whether an earlier attempt has sent the caller a part of this answer. */
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
