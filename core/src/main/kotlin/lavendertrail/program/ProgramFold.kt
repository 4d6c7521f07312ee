package lavendertrail.program

import kotlinx.collections.immutable.persistentListOf
import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.model.RunOutcome

/**
 * Folds one record into the state. Live operation folds a record when it is created and [acknowledge]s it when both journal
 * copies have it; replay does both at once, so both reach the same state. A known [body] avoids decoding the content.
 */
internal fun ProgramsState.fold(
    record: HistoryRecord,
    settings: ProgramSettings,
    body: CallBody? = null,
): ProgramsState =
    when (val payload = record.payload) {
        is HistoryPayload.Opened -> foldOpened(record, payload)
        is HistoryPayload.CallStarted -> foldStarted(record, payload, body ?: record.content?.let(::decodeBody), settings)
        is HistoryPayload.CallFinished -> foldFinished(record, payload)
        is HistoryPayload.Settled -> foldSettled(record, payload)
        is HistoryPayload.ChildOpened -> this
        is HistoryPayload.Ended -> foldEnded(record)
    }.updateProgram(record.program) { it.copy(lastRecord = record.copy(content = null)) }

internal fun ProgramsState.updateProgram(
    program: ProgramId,
    change: (Program) -> Program,
): ProgramsState {
    val current = programs[program] ?: return this
    return copy(programs = programs.put(program, change(current)))
}

internal fun ProgramsState.updatePartition(
    partition: PartitionId,
    change: (PartitionPrograms) -> PartitionPrograms,
): ProgramsState {
    val current = partitions[partition] ?: return this
    return copy(partitions = partitions.put(partition, change(current)))
}

internal fun deadlineOf(
    opened: HistoryPayload.Opened,
    openedMillis: Long,
    parent: Program?,
): Long =
    listOfNotNull(
        openedMillis + opened.spec.budget.maxWallMillis,
        opened.spec.deadlineMillis,
        parent?.deadlineMillis,
    ).min()

private fun ProgramsState.foldOpened(
    record: HistoryRecord,
    opened: HistoryPayload.Opened,
): ProgramsState {
    val parent = opened.parent?.let(programs::get)
    val program =
        Program(
            id = record.program,
            spec = opened.spec,
            parent = opened.parent,
            depth = (parent?.depth ?: -1) + 1,
            openedMillis = record.atMillis,
            deadlineMillis = deadlineOf(opened, record.atMillis, parent),
            lastRecord = record,
        )
    val added = copy(programs = programs.put(program.id, program))
    val linked = parent?.let { added.updateProgram(it.id) { p -> p.copy(liveChildren = p.liveChildren.add(program.id)) } } ?: added
    return linked.updatePartition(program.id.partition) { it.copy(programs = it.programs.add(program.id)) }
}

private fun ProgramsState.foldStarted(
    record: HistoryRecord,
    started: HistoryPayload.CallStarted,
    body: CallBody?,
    settings: ProgramSettings,
): ProgramsState {
    val program = programs.getValue(record.program)
    val call = CallId(program.id, started.position)
    val entry =
        CallEntry(
            position = started.position,
            phase = CallPhase.STARTING,
            kind = started.kind,
            target = started.target,
            bodyDigest = digestOfHex(started.bodySha256),
            repeatable = started.repeatable,
            key = started.key,
            reservation = reservationOf(started),
            deadlineMillis = started.deadlineMillis,
            startedMillis = record.atMillis,
            // The answer of a call that repeats a key is in the history of the first call with that key.
            body = body.takeUnless { started.kind == CallKind.SAME_KEY },
            chain =
                (body as? CallBody.ModelCall)
                    ?.takeUnless { started.kind == CallKind.SAME_KEY }
                    ?.let { program.chain.plus(it.messages, settings.bytesPerToken) },
            originalCall = if (started.kind == CallKind.SAME_KEY) parseCallId(started.target) else null,
        )
    val reserved = if (entry.originalCall == null) registerKey(call, entry) else this
    return reserved
        .updateSpend(program.id) { it.reserve(entry.reservation) }
        .updateProgram(program.id) { it.copy(openCall = entry, nextPosition = started.position) }
        .updatePartition(program.id.partition) { it.copy(openCalls = it.openCalls + 1) }
}

private fun reservationOf(started: HistoryPayload.CallStarted): Reservation =
    Reservation(
        tokens = started.reservedTokens,
        costMicros = started.reservedCostMicros,
        turns = if (started.kind == CallKind.MODEL) 1 else 0,
    )

private fun ProgramsState.registerKey(
    call: CallId,
    entry: CallEntry,
): ProgramsState {
    val key = entry.key
    if (key == null || entry.repeatable) return this
    return updateProgram(call.program.root) { it.copy(keys = it.keys.put(digestOf(key), KeyUse(call, entry.bodyDigest))) }
}

private fun ProgramsState.foldFinished(
    record: HistoryRecord,
    finished: HistoryPayload.CallFinished,
): ProgramsState {
    val program = programs.getValue(record.program)
    val entry = program.openCall?.takeIf { it.position == finished.position } ?: return this
    val done =
        entry.copy(
            phase = CallPhase.FINISHING,
            result = resultOf(finished, record.content.orEmpty()),
            finishedMillis = record.atMillis,
        )
    val mayHaveRun = finished.outcome == RunOutcome.MAY_HAVE_RUN && !entry.repeatable && entry.originalCall == null
    val unresolved =
        if (mayHaveRun) {
            val use = UnresolvedUsage(entry.key, entry.target, entry.startedMillis, finished.usage)
            program.unresolved.put(entry.position, use)
        } else {
            program.unresolved
        }
    return updateSpend(program.id) { it.settle(entry.reservation, finished.usage, finished.outcome) }
        .updateProgram(program.id) { it.copy(openCall = done, unresolved = unresolved) }
}

private fun ProgramsState.foldSettled(
    record: HistoryRecord,
    settled: HistoryPayload.Settled,
): ProgramsState {
    val program = programs.getValue(record.program)
    val use = program.unresolved[settled.position] ?: return this
    return updateSpend(program.id) { it.replaceCharge(use.charged, settled.usage) }
        .updateProgram(program.id) { it.copy(unresolved = it.unresolved.remove(settled.position)) }
}

private fun ProgramsState.foldEnded(record: HistoryRecord): ProgramsState {
    val program = programs.getValue(record.program)
    val ended = updateProgram(program.id) { it.copy(endedMillis = record.atMillis, waiting = it.waiting.clear()) }
    return program.parent?.let { parent ->
        ended.updateProgram(parent) { it.copy(liveChildren = it.liveChildren.remove(program.id)) }
    } ?: ended
}

/** Applies the acknowledgement of a record; see [fold]. */
internal fun ProgramsState.acknowledge(
    acknowledgement: Acknowledgement,
    nowMillis: Long,
    settings: ProgramSettings,
): ProgramsState {
    val counted = updateProgram(acknowledgement.program) { it.copy(durableRecords = it.durableRecords + 1) }
    return when (acknowledgement) {
        is Acknowledgement.Started -> counted.acknowledgeStarted(acknowledgement.call, nowMillis)
        is Acknowledgement.Finished -> counted.acknowledgeFinished(acknowledgement.call, settings)
        is Acknowledgement.Settled -> counted.acknowledgeSettled(acknowledgement)
        is Acknowledgement.Ended -> counted.updateProgram(acknowledgement.program) { it.copy(endDurable = true) }
        else -> counted
    }
}

private fun ProgramsState.acknowledgeSettled(settled: Acknowledgement.Settled): ProgramsState =
    updateProgram(settled.program) { program ->
        val entry = program.recent[settled.call.position]?.copy(result = settled.result)
        if (entry == null) program else program.copy(recent = program.recent.put(settled.call.position, entry))
    }

private fun ProgramsState.acknowledgeStarted(
    call: CallId,
    nowMillis: Long,
): ProgramsState =
    updateProgram(call.program) { program ->
        val entry = program.openCall
        if (entry?.position != call.position || entry.phase != CallPhase.STARTING) {
            program
        } else {
            program.copy(openCall = entry.copy(phase = CallPhase.RUNNING, durableMillis = nowMillis))
        }
    }

private fun ProgramsState.acknowledgeFinished(
    call: CallId,
    settings: ProgramSettings,
): ProgramsState {
    val program = programs[call.program] ?: return this
    val entry = program.openCall?.takeIf { it.position == call.position && it.phase == CallPhase.FINISHING } ?: return this
    val done = entry.asFinished()
    return updateProgram(program.id) { it.withFinishedCall(done, entry, settings) }
        .setKeyResult(call, done)
        .updatePartition(call.program.partition) { it.copy(openCalls = it.openCalls - 1) }
}

private fun CallEntry.asFinished(): CallEntry {
    val known = checkNotNull(result) { "call $position is finishing without a result" }
    val retryAfterMillis = (known as? CallResult.Refused)?.refusal?.retryAfterMillis
    val allowsRetry = originalCall == null && allowsRetry(known, repeatable)
    return copy(
        phase = CallPhase.DONE,
        messages = messagesOf(body, known),
        body = null,
        chain = null,
        waiters = persistentListOf(),
        retryAtMillis = if (allowsRetry) checkNotNull(finishedMillis) + checkNotNull(retryAfterMillis) else null,
    )
}

private fun Program.withFinishedCall(
    done: CallEntry,
    entry: CallEntry,
    settings: ProgramSettings,
): Program {
    val answered = done.result as? CallResult.Answered
    val body = entry.body
    val grownPrompt =
        when {
            done.messages.isEmpty() || answered == null -> prompt
            body is CallBody.ModelCall -> prompt.afterAnswer(body, done.messages, answered.usage.promptTokens)
            else -> prompt.plus(done.messages)
        }
    val base = entry.chain?.takeIf { answered != null }
    val grownChain =
        when {
            base != null -> base.plus(done.messages.takeLast(1), settings.bytesPerToken)
            else -> chain.plus(done.messages, settings.bytesPerToken)
        }
    return copy(
        openCall = null,
        nextPosition = if (done.retryAtMillis == null) done.position + 1 else done.position,
        prompt = grownPrompt,
        chain = grownChain,
        lastAnswerMillis = done.finishedMillis,
    ).withRecentCall(done, settings)
}

/** Adds [done] to the recent calls and evicts the oldest of them beyond the limits. */
private fun Program.withRecentCall(
    done: CallEntry,
    settings: ProgramSettings,
): Program {
    var kept = recent.put(done.position, done)
    var first = if (recent.isEmpty()) done.position else firstRecent
    var bytes = recentTextBytes + done.textBytes() - (recent[done.position]?.textBytes() ?: 0)
    var evicted = evictedMessages
    // A call whose position may be used again is kept, so that late duplicates get its refusal until then.
    while (first < nextPosition && (kept.size > settings.maxRecentCalls || bytes > settings.maxRecentTextBytes)) {
        val dropped = kept[first]
        kept = kept.remove(first)
        first += 1
        bytes -= dropped?.textBytes() ?: 0
        evicted += dropped?.messages?.size ?: 0
    }
    return copy(recent = kept, firstRecent = first, recentTextBytes = bytes, evictedMessages = evicted)
}

private fun CallEntry.textBytes(): Int =
    messages.sumOf { utf8SizeBytes(it.content) } + ((result as? CallResult.Refused)?.refusal?.message?.length ?: 0)

/** Stores the final outcome of a key. If the call may be submitted again, nothing has run, and the key is released instead. */
private fun ProgramsState.setKeyResult(
    call: CallId,
    done: CallEntry,
): ProgramsState {
    val key = done.key?.let { digestOf(it) }
    if (key == null || done.repeatable || done.originalCall != null) return this
    return updateProgram(call.program.root) { root ->
        val use = root.keys[key]
        when {
            use == null || use.call != call -> root
            done.retryAtMillis != null -> root.copy(keys = root.keys.remove(key))
            else -> root.copy(keys = root.keys.put(key, use.copy(result = done.keyResult())))
        }
    }
}

private fun CallEntry.keyResult(): KeyResult =
    when (val known = checkNotNull(result)) {
        is CallResult.Answered -> KeyResult.answered(known.server)
        is CallResult.Refused -> KeyResult(known.refusal.outcome, known.refusal.reason, null)
    }
