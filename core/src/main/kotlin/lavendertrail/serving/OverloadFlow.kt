package lavendertrail.serving

import lavendertrail.membership.mix
import lavendertrail.membership.stableHash

/*
 * When requests return that are turned away as not run while servers are overloaded. Without [ServingSettings.ordersReturns] all of
 * this is off.
 */

/** Turns [pending] away; it returns after [usualRetryMillis] where returns aren't ordered. */
internal fun ServingWork.turnAwayOverloaded(
    pending: PendingRequest,
    usualRetryMillis: Long,
    cause: String,
) {
    val canOrder = settings.ordersReturns && pending.possiblyRunAttempts == 0
    if (!canOrder) return rejectUnlessPossiblyRun(pending, RejectReason.OVERLOADED, usualRetryMillis, cause)
    val roomMillis = roomMillis(pending)
    val detail = "${cause.ifEmpty { "all servers are full" }}, room expected in ${roomMillis.toLong()} ms"
    rejectRequest(pending, RejectReason.OVERLOADED, returnMillis(pending, roomMillis), detail)
}

internal fun ServingWork.recordEndedForReturns(pending: PendingRequest) {
    if (!settings.ordersReturns) return
    val service = pending.service.name
    val demand = parts.returnDemand[service] ?: ReturnDemand()
    parts = parts.copy(returnDemand = parts.returnDemand.put(service, demand.withEnded(pending.isFirstTurn, nowMillis)))
}

private fun ServingWork.returnMillis(
    pending: PendingRequest,
    roomMillis: Double,
): Long {
    val request = pending.request
    val service = pending.service.name
    // Programs begin with a turn, so a call of a tool belongs to a running one.
    val isRunning = !pending.isFirstTurn || pending.service.engine == null
    val known = parts.returnDemand[service] ?: ReturnDemand()
    val demand = known.withTurnedAway(isRunning, request.promptTokens, nowMillis)
    parts = parts.copy(returnDemand = parts.returnDemand.put(service, demand))
    val hash = uniformHash(request.programId ?: request.attemptId)
    val elapsedMillis = nowMillis - pending.arrivedMillis
    return returnInOrder(
        ReturnInput(
            remainingMillis = pending.remainingMillis(nowMillis),
            programRemainingMillis = request.programDeadlineMillis?.minus(elapsedMillis),
            roomMillis = roomMillis,
            runningBacklogMillis = demand.runningBacklogMillis,
            newBacklogMillis = demand.newBacklogMillis,
            isRunning = isRunning,
            position = if (isRunning) demand.investedPosition(request.promptTokens, hash) else hash,
        ),
    )
}

/** Time until the first server has a place, at least that in which one of its requests ends. */
private fun ServingWork.roomMillis(pending: PendingRequest): Double {
    val meanMillis = meanServiceDurationMillis(pending)
    val waitsMillis =
        candidates(pending.copy(triedServers = emptySet())).map { state ->
            val occupied = state.occupancy(nowMillis, settings.loadHalfLifeMillis)
            val placeMillis = state.placeWaitMillis(occupied, state.slots * (1 + settings.maxWaitingPerSlot), meanMillis)
            state.permitWaitMillis(nowMillis) + maxOf(placeMillis, meanMillis / state.slots)
        }
    return waitsMillis.minOrNull() ?: meanMillis
}

/**
 * Time until this server has a place of [places], where [meanDurationMillis] counts the wait at the server too: while as many requests
 * are there as now, one ends each mean duration divided by their number.
 */
private fun ServerState.placeWaitMillis(
    occupied: Double,
    places: Double,
    meanDurationMillis: Double,
): Double = (occupied - places + 1).coerceAtLeast(0.0) * meanDurationMillis / maxOf(occupied, slots.toDouble())

/** A number between 0 and 1 that is the same for [subject] at all entry hosts. */
internal fun uniformHash(subject: String): Double =
    Math.floorMod(mix(stableHash(subject)), UNIFORM_HASH_STEPS) / UNIFORM_HASH_STEPS.toDouble()

private const val UNIFORM_HASH_STEPS = 1_000_003L
