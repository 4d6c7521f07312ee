package lavendertrail.gateway

import kotlinx.serialization.json.put
import lavendertrail.serving.LoadStreamPart
import lavendertrail.serving.StreamPartResult
import lavendertrail.turns.StreamTurnsRequest
import lavendertrail.turns.TurnClient
import lavendertrail.turns.TurnRecord
import lavendertrail.turns.findStreamTurns
import lavendertrail.turns.storeTurn
import lavendertrail.turns.storeUnfinishedTurn
import lavendertrail.turns.turnExpiry

/**
 * Stores what callers have got of their turns at the turn hosts: finished turns before the answer ends, and on routes whose streams can
 * be resumed also those that broke off. A turn that is resumed begins with the output that its caller has from earlier attempts.
 */
internal class TurnKeeper(
    private val turnClient: TurnClient,
    private val log: StructuredLog,
    private val metrics: GatewayMetrics,
) {
    /** Stores the finished turn with the chain that it continues, for [retentionMillis]. */
    fun storeFinished(
        exchange: Exchange,
        retentionMillis: Long,
        onDone: (isStored: Boolean) -> Unit,
    ) {
        val startedMillis = nowMillis()
        val nowEpochMillis = System.currentTimeMillis()
        val turn = exchange.toTurnRecord(turnExpiry(nowEpochMillis, retentionMillis))
        turnClient.storeTurn(turn, STORE_TIMEOUT_MILLIS, exchange.history, nowEpochMillis + retentionMillis) { isStored ->
            metrics.recordTurnSave(nowMillis() - startedMillis)
            onDone(isStored)
        }
    }

    /**
     * Stores what the caller has of a turn that ends early, once, if the caller may resume it. [onDone] is called when it is stored or
     * can't be, so that a caller that is told afterwards finds it.
     */
    fun storeAtEnd(
        exchange: Exchange,
        onDone: () -> Unit,
    ) {
        val mayResume = exchange.streamLease != null && exchange.isResponseStarted && exchange.lastEventId != null
        if (!mayResume || exchange.isUnfinishedStored) return onDone()
        exchange.isUnfinishedStored = true
        storeUnfinished(exchange, onDone)
    }

    /** Stores what the caller has of a turn that goes on. */
    fun storeUnfinished(
        exchange: Exchange,
        onDone: () -> Unit = {},
    ) {
        val lease = exchange.streamLease ?: return onDone()
        val startedMillis = nowMillis()
        val turn = exchange.toTurnRecord(System.currentTimeMillis() + lease.retentionMillis)
        turnClient.storeUnfinishedTurn(turn) { isStored ->
            log.event("unfinished turn stored") {
                put("request", exchange.request.attemptId)
                put("stream", lease.attemptId)
                put("events", turn.eventCount)
                put("bytes", turn.sizeBytes)
                put("stored", isStored)
                put("millis", nowMillis() - startedMillis)
            }
            onDone()
        }
    }

    /** Looks up what the caller of [exchange] has from earlier attempts, and begins the output with it. */
    fun loadEarlierPart(
        exchange: Exchange,
        effect: LoadStreamPart,
        onDone: (StreamPartResult) -> Unit,
    ) {
        val startedMillis = nowMillis()
        val request = StreamTurnsRequest(effect.streamId, effect.lastEventId)
        turnClient.findStreamTurns(request, effect.timeoutMillis) { turns, isCertain ->
            val result = selectPart(turns, isCertain, effect, exchange.body)
            if (result == StreamPartResult.FOUND) exchange.beginWith(turns.single())
            log.event("earlier part looked up") {
                put("request", exchange.request.attemptId)
                put("stream", effect.streamId)
                put("lastEvent", effect.lastEventId)
                put("result", result.name.lowercase())
                put("millis", nowMillis() - startedMillis)
            }
            onDone(result)
        }
    }

    private companion object {
        /** Long enough to ask another host in place of one whose disk stalls, and well below callers' timeouts. */
        const val STORE_TIMEOUT_MILLIS = 1_500L
    }
}

/** Whether [turns], all that are known of the stream up to the event that the caller names, tell what the caller has of its turn. */
internal fun selectPart(
    turns: List<TurnRecord>,
    isCertain: Boolean,
    effect: LoadStreamPart,
    input: ByteArray,
): StreamPartResult {
    val turn = turns.singleOrNull()
    return when {
        !isCertain -> StreamPartResult.UNCERTAIN
        turns.isEmpty() -> StreamPartResult.UNKNOWN
        turn == null -> StreamPartResult.AMBIGUOUS
        turn.programId != effect.programId.orEmpty() -> StreamPartResult.OTHER_TURN
        turn.previousId != effect.previousTurnId || !turn.input.contentEquals(input) -> StreamPartResult.OTHER_TURN
        else -> StreamPartResult.FOUND
    }
}
