package lavendertrail.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * The attempts with one fingerprint that lost their connection, and what speaks against a crash. Evidence may arrive more than once
 * and out of order.
 *
 * Losses count against all senders of the request, since most requests name nobody who stays the same. Where a sender is answered,
 * the request alone doesn't crash servers: then losses count against their own sender, and against others only as often as
 * different senders had one.
 */
internal data class CrashRecord(
    val changedAtMillis: Long,
    private val losses: PersistentMap<LossId, LostAttempt> = persistentHashMapOf(),
    private val trialsAtMillis: PersistentMap<String, Long> = persistentHashMapOf(),
    private val answersAtMillis: PersistentMap<String, Long> = persistentHashMapOf(),
) {
    private val lastAnswerMillis: Long = answersAtMillis.values.maxOrNull() ?: Long.MIN_VALUE

    private val lossesOfAll: List<LostAttempt> by lazy { losses.values.countedAfter(lastAnswerMillis) }

    /** The most losses that count against any sender. */
    val mostLosses: Int by lazy {
        maxOf(lossesOfAll.size, losses.values.distinctBy { it.senderId }.maxOfOrNull { lossesOf(it.senderId).size } ?: 0)
    }

    val hasLosses: Boolean get() = losses.values.any { !it.isWithdrawn }

    private fun lossesOf(senderId: String): List<LostAttempt> =
        losses.values.filter { it.senderId == senderId }.countedAfter(answersAtMillis[senderId] ?: Long.MIN_VALUE)

    /**
     * The losses that count against a request of [senderId], each of an attempt that began after the loss before. Servers that go
     * down together take concurrent requests with them, which therefore count as one.
     */
    fun lossesAgainst(senderId: String): List<LostAttempt> {
        val ofAll = if (isAnsweredForOthers(senderId)) lossesOfAll.distinctBy { it.senderId } else lossesOfAll
        val own = lossesOf(senderId)
        return if (own.size >= ofAll.size) own else ofAll
    }

    fun isAnsweredForOthers(senderId: String): Boolean = answersAtMillis.keys.any { it != senderId }

    fun hasLossOtherThan(ids: Set<LossId>): Boolean = losses.keys.any { it !in ids }

    /** Whether [attemptId] is the latest trial, and no connection has been lost since. */
    fun isTrial(attemptId: String): Boolean {
        val latest = trialsAtMillis.maxByOrNull { it.value } ?: return false
        return latest.key == attemptId && losses.values.none { !it.isWithdrawn && it.endedAtMillis > latest.value }
    }

    /**
     * Until when requests of [senderId] with the fingerprint are refused; null if too few crashes are counted. Each trial that crashed
     * a server prolongs the time; one that no server ran doesn't. A trial may go on for [longestTimeoutMillis].
     */
    fun isolatedUntilMillis(
        senderId: String,
        settings: ServingSettings,
        longestTimeoutMillis: Long,
    ): Long? {
        val counted = lossesAgainst(senderId)
        val failedTrials = counted.size - settings.crashesBeforeIsolation
        if (failedTrials < 0) return null
        val lastLossMillis = counted.last().endedAtMillis
        val pendingTrialMillis = trialsAtMillis.values.filter { it > lastLossMillis }.maxOrNull()
        if (pendingTrialMillis != null) return pendingTrialMillis + maxOf(settings.pendingCrashTrialMillis, longestTimeoutMillis)
        return lastLossMillis + settings.crashTrialDelaysMillis.getOrElse(failedTrials) { settings.crashRecordRetentionMillis }
    }

    fun withLoss(
        id: LossId,
        loss: LostAttempt,
        nowMillis: Long,
    ): CrashRecord {
        val known = losses[id] ?: return copy(changedAtMillis = nowMillis, losses = losses.put(id, loss).newest { it.endedAtMillis })
        return if (loss.isWithdrawn && !known.isWithdrawn) copy(losses = losses.put(id, known.copy(isWithdrawn = true))) else this
    }

    fun withTrial(
        attemptId: String,
        atMillis: Long,
        nowMillis: Long,
    ): CrashRecord {
        if (attemptId in trialsAtMillis) return this
        return copy(changedAtMillis = nowMillis, trialsAtMillis = trialsAtMillis.put(attemptId, atMillis).newest { it })
    }

    fun withAnswer(
        senderId: String,
        atMillis: Long,
    ): CrashRecord {
        val latestMillis = maxOf(answersAtMillis[senderId] ?: Long.MIN_VALUE, atMillis)
        return copy(answersAtMillis = answersAtMillis.put(senderId, latestMillis).newest { it })
    }

    /** What counts against the request or speaks for it, without the losses in [excluded], as reports to other hosts. */
    fun evidence(
        fingerprint: String,
        excluded: Set<LossId>,
        nowMillis: Long,
    ): List<CrashEvidence> {
        val reportedLosses =
            losses.filter { (id, loss) ->
                id !in excluded && !loss.isWithdrawn && loss.endedAtMillis > (answersAtMillis[loss.senderId] ?: Long.MIN_VALUE)
            }
        return reportedLosses.map { (id, loss) ->
            val startedMillisAgo = nowMillis - loss.startedAtMillis
            val endedMillisAgo = nowMillis - loss.endedAtMillis
            val kind = CrashEvidenceKind.CONNECTION_LOST
            CrashEvidence(kind, fingerprint, id.attemptId, id.serverId, startedMillisAgo, endedMillisAgo, loss.senderId)
        } +
            trialsAtMillis.map { (attemptId, atMillis) ->
                val millisAgo = nowMillis - atMillis
                CrashEvidence(CrashEvidenceKind.TRIED, fingerprint, attemptId, "", millisAgo, millisAgo)
            } +
            answersAtMillis.map { (senderId, atMillis) ->
                val millisAgo = nowMillis - atMillis
                CrashEvidence(CrashEvidenceKind.COMPLETED, fingerprint, "", "", millisAgo, millisAgo, senderId)
            }
    }

    private fun <K, V> PersistentMap<K, V>.newest(atMillis: (V) -> Long): PersistentMap<K, V> =
        if (size <= MAX_ENTRIES) this else remove(entries.minBy { atMillis(it.value) }.key)

    private companion object {
        const val MAX_ENTRIES = 16
    }
}

private fun Collection<LostAttempt>.countedAfter(answerMillis: Long): List<LostAttempt> =
    filter { !it.isWithdrawn && it.endedAtMillis > answerMillis }
        // Of two that ended in the same millisecond, the one that began first was lost first.
        .sortedWith(compareBy({ it.endedAtMillis }, { it.startedAtMillis }))
        .fold(emptyList()) { counted, loss ->
            val last = counted.lastOrNull()
            if (last == null || loss.isAfter(last)) counted + loss else counted
        }

internal data class LossId(
    val attemptId: String,
    val serverId: String,
)

internal data class LostAttempt(
    val startedAtMillis: Long,
    val endedAtMillis: Long,
    /** Whether the server has turned out to be alive. */
    val isWithdrawn: Boolean = false,
    /** Whether another host has seen it. Its times appear later by the time that the report took. */
    val isLearnt: Boolean = false,
    /** Who sent the request; see [CallerRequest.senderId]. */
    val senderId: String = "",
) {
    fun isAfter(other: LostAttempt): Boolean {
        val toleranceMillis = if (isLearnt || other.isLearnt) REPORT_MILLIS else 0
        return startedAtMillis + toleranceMillis >= other.endedAtMillis
    }

    private companion object {
        /** Above the time that a report takes from host to host, also as the first one of a process. */
        const val REPORT_MILLIS = 100L
    }
}
