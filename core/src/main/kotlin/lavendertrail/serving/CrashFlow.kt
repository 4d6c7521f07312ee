package lavendertrail.serving

import kotlinx.collections.immutable.toPersistentList

/*
 * Requests that crash the servers that run them. Such a request comes again at any entry host, so the hosts tell each other which
 * requests lost their connections. A lost connection alone doesn't show a crash, and a crash takes all requests of the server with
 * it: evidence counts only as long as the server answers nothing, and until a request with the same fingerprint is answered.
 */

/** Whether the request may not be sent now, and has been answered. Records the trial if it is sent to see whether servers still crash. */
internal fun ServingWork.isHeldBack(pending: PendingRequest): Boolean {
    val fingerprint = pending.request.fingerprint ?: return false
    val record = parts.crashes[fingerprint] ?: return false
    val senderId = pending.request.senderId
    val crashCount = record.lossesAgainst(senderId).size
    if (crashCount < settings.crashesBeforeIsolation - 1) return false
    val isolatedUntilMillis = isolatedUntilMillis(record, senderId)
    val waitMillis =
        when {
            isolatedUntilMillis == null && !isSentMeanwhile(pending, fingerprint, record) -> return false
            isolatedUntilMillis == null -> meanServiceDurationMillis(pending).toLong()
            record.isTrial(pending.request.attemptId) -> return false
            isolatedUntilMillis <= nowMillis -> {
                startTrial(pending, fingerprint)
                return false
            }
            else -> isolatedUntilMillis - nowMillis
        }
    rejectUnlessPossiblyRun(pending, RejectReason.CRASHES_SERVERS, waitMillis, "$crashCount crashes")
    return true
}

/** Rejects a request that is isolated before any work is done for it. */
internal fun ServingWork.rejectIfIsolated(pending: PendingRequest): Boolean {
    val record = pending.request.fingerprint?.let { parts.crashes[it] } ?: return false
    val senderId = pending.request.senderId
    val waitMillis = (isolatedUntilMillis(record, senderId) ?: return false) - nowMillis
    if (waitMillis <= 0) return false
    rejectRequest(pending, RejectReason.CRASHES_SERVERS, waitMillis, "${record.lossesAgainst(senderId).size} crashes")
    return true
}

private fun ServingWork.isolatedUntilMillis(
    record: CrashRecord,
    senderId: String,
): Long? = record.isolatedUntilMillis(senderId, settings, parts.config?.longestTimeoutMillis ?: 0)

/** Whether the request is at a server for another attempt, of the same sender where others are answered. */
private fun ServingWork.isSentMeanwhile(
    pending: PendingRequest,
    fingerprint: String,
    record: CrashRecord,
): Boolean {
    val senderId = pending.request.senderId
    val ofSenderOnly = record.isAnsweredForOthers(senderId)
    return parts.requests.values.any {
        it.key != pending.key &&
            it.stage == PendingRequest.Stage.SENT &&
            it.request.fingerprint == fingerprint &&
            (!ofSenderOnly || it.request.senderId == senderId)
    }
}

/** Renews the isolation at all hosts before the request is sent, so that it is sent by one of them only. */
private fun ServingWork.startTrial(
    pending: PendingRequest,
    fingerprint: String,
) {
    val trial = CrashEvidence(CrashEvidenceKind.TRIED, fingerprint, pending.request.attemptId, "", 0, 0)
    parts = parts.copy(crashes = parts.crashes.with(trial, nowMillis, settings))
    emit(ReportCrashEvidence(listOf(trial)))
}

/** Records what the end of an attempt says about whether the request crashes servers. */
internal fun ServingWork.recordCrashEvidence(
    pending: PendingRequest,
    outcome: AttemptOutcome,
    isServerAlive: Boolean,
) {
    val fingerprint = pending.request.fingerprint ?: return
    val serverId = pending.serverId ?: return
    when (outcome) {
        AttemptOutcome.ANSWERED, AttemptOutcome.NOT_KEPT -> recordCompletion(fingerprint, pending, serverId)
        AttemptOutcome.NOT_RUN -> recordServerAlive(pending)
        AttemptOutcome.BROKEN -> {
            if (isServerAlive) return recordServerAlive(pending)
            val attempt = LostAttempt(pending.sentAtMillis, nowMillis, senderId = pending.request.senderId)
            val loss = OwnLoss(fingerprint, LossId(pending.request.attemptId, serverId), attempt)
            parts = parts.copy(crashes = parts.crashes.withOwnLoss(loss, nowMillis, settings))
            reportAnswerForOthers(fingerprint)
        }
        AttemptOutcome.UNREACHABLE, AttemptOutcome.WRONG_SERVER, AttemptOutcome.WITHDRAWN -> Unit
    }
}

private fun ServingWork.recordCompletion(
    fingerprint: String,
    pending: PendingRequest,
    serverId: String,
) {
    val crashes = parts.crashes
    val senderId = pending.request.senderId
    parts = parts.copy(recentAnswers = parts.recentAnswers.with(fingerprint, RecentAnswers.Answer(senderId, nowMillis)))
    val record = crashes[fingerprint] ?: return
    if (record.lossesAgainst(senderId).isEmpty()) return
    val own = crashes.ownLosses.filter { it.fingerprint == fingerprint && it.attempt.senderId == senderId }
    val unreported = own.filter { !it.isReported }
    parts =
        parts.copy(
            crashes =
                crashes
                    .withAnswer(fingerprint, senderId, nowMillis)
                    .copy(ownLosses = crashes.ownLosses.removeAll(own)),
        )
    if (!record.hasLossOtherThan(unreported.mapTo(mutableSetOf()) { it.id })) return
    val sentMillisAgo = nowMillis - pending.sentAtMillis
    val attemptId = pending.request.attemptId
    val answer = CrashEvidence(CrashEvidenceKind.COMPLETED, fingerprint, attemptId, serverId, sentMillisAgo, 0, senderId)
    emit(ReportCrashEvidence(listOf(answer)))
}

/**
 * Tells all hosts that the request was answered for somebody before its first loss was known. Only then can they tell a request that
 * many senders share from one that crashes servers for all.
 */
private fun ServingWork.reportAnswerForOthers(fingerprint: String) {
    val record = parts.crashes[fingerprint] ?: return
    val answer = parts.recentAnswers[fingerprint] ?: return
    if (!record.hasLosses || record.isAnsweredForOthers(senderId = NO_SENDER)) return
    parts = parts.copy(crashes = parts.crashes.withAnswer(fingerprint, answer.senderId, answer.atMillis))
    val millisAgo = nowMillis - answer.atMillis
    val evidence = CrashEvidence(CrashEvidenceKind.COMPLETED, fingerprint, "", "", millisAgo, millisAgo, answer.senderId)
    emit(ReportCrashEvidence(listOf(evidence)))
}

/** Withdraws the losses at the server of [pending], which it has answered although it was sent after them. */
internal fun ServingWork.recordServerAlive(pending: PendingRequest) {
    val losses = parts.crashes.ownLosses.filter { it.id.serverId == pending.serverId && pending.sentAtMillis > it.attempt.endedAtMillis }
    if (losses.isEmpty()) return
    val withdrawals = losses.map { it.toEvidence(CrashEvidenceKind.SERVER_ALIVE, nowMillis) }
    val withdrawn = withdrawals.fold(parts.crashes) { register, evidence -> register.with(evidence, nowMillis, settings) }
    parts = parts.copy(crashes = withdrawn.copy(ownLosses = withdrawn.ownLosses.removeAll { it in losses }))
    val reported = losses.filter { it.isReported }.map { it.toEvidence(CrashEvidenceKind.SERVER_ALIVE, nowMillis) }
    if (reported.isNotEmpty()) emit(ReportCrashEvidence(reported))
}

internal fun ServingWork.recordLearntCrashEvidence(evidence: List<CrashEvidence>) {
    parts = parts.copy(crashes = evidence.fold(parts.crashes) { register, item -> register.with(item, nowMillis, settings) })
    evidence.filter { it.kind == CrashEvidenceKind.CONNECTION_LOST }.distinctBy { it.fingerprint }.forEach {
        reportAnswerForOthers(it.fingerprint)
    }
}

/** Reports the losses of servers that haven't answered since, and forgets them once an answer would prove nothing any more. */
internal fun ServingWork.reportLosses() {
    val losses = parts.crashes.ownLosses
    if (losses.isEmpty()) return
    val due =
        losses.filter {
            !it.isReported &&
                (
                    isRepeated(
                        it,
                    ) ||
                        nowMillis - it.attempt.endedAtMillis >= settings.crashReportDelayMillis
                )
        }
    val kept =
        losses
            .filter { nowMillis - it.attempt.endedAtMillis < settings.crashVerdictMillis }
            .map { if (it in due) it.copy(isReported = true) else it }
    parts = parts.copy(crashes = parts.crashes.copy(ownLosses = kept.toPersistentList()))
    if (due.isNotEmpty()) emit(ReportCrashEvidence(due.map { it.toEvidence(CrashEvidenceKind.CONNECTION_LOST, nowMillis) }))
}

/** Whether the request has lost another connection, so that its next attempt may follow soon and must not wait for the report. */
private fun ServingWork.isRepeated(loss: OwnLoss): Boolean = parts.crashes[loss.fingerprint]?.hasLossOtherThan(setOf(loss.id)) == true

/** Tells the turn host at [address] all that counts against requests that have lost connections repeatedly, whoever has seen it. */
internal fun ServingWork.repeatCrashReports(address: String) {
    val evidence = parts.crashes.evidence(minLosses = settings.crashesBeforeIsolation - 1, nowMillis)
    if (evidence.isNotEmpty()) emit(ReportCrashEvidence(evidence, address))
}

private fun OwnLoss.toEvidence(
    kind: CrashEvidenceKind,
    nowMillis: Long,
) = CrashEvidence(
    kind,
    fingerprint,
    id.attemptId,
    id.serverId,
    nowMillis - attempt.startedAtMillis,
    nowMillis - attempt.endedAtMillis,
    attempt.senderId,
)

/** Differs from the sender of any request. */
private const val NO_SENDER = "-"
