package lavendertrail.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * The attempts with one fingerprint that lost their connection, and what speaks against a crash. Evidence may arrive more than once
 * and out of order.
 */
internal data class CrashRecord(
    val changedAtMillis: Long,
    private val losses: PersistentMap<LossId, LostAttempt> = persistentHashMapOf(),
    private val trialsAtMillis: PersistentMap<String, Long> = persistentHashMapOf(),
    private val completedAtMillis: Long = Long.MIN_VALUE,
) {
    /**
     * The losses since the last complete answer, each of an attempt that began after the loss before. Servers that go down together
     * take concurrent requests with them, which therefore count as one.
     */
    val countedLosses: List<LostAttempt> by lazy {
        losses.values
            .filter { !it.isWithdrawn && it.endedAtMillis > completedAtMillis }
            .sortedBy { it.endedAtMillis }
            .fold(emptyList()) { counted, loss ->
                val last = counted.lastOrNull()
                if (last == null || loss.isAfter(last)) counted + loss else counted
            }
    }

    private val trialsSinceCompletion get() = trialsAtMillis.filterValues { it > completedAtMillis }

    fun hasLossOtherThan(ids: Set<LossId>): Boolean = losses.keys.any { it !in ids }

    /** Whether [attemptId] is the latest trial, and no connection has been lost since. */
    fun isTrial(attemptId: String): Boolean {
        val latest = trialsSinceCompletion.maxByOrNull { it.value } ?: return false
        return latest.key == attemptId && countedLosses.none { it.endedAtMillis > latest.value }
    }

    /**
     * Until when requests with the fingerprint are refused; null if too few crashes are counted. Each trial that crashed a server
     * prolongs the time; one that no server ran doesn't.
     */
    fun isolatedUntilMillis(settings: ServingSettings): Long? {
        val failedTrials = countedLosses.size - settings.crashesBeforeIsolation
        if (failedTrials < 0) return null
        val lastLossMillis = countedLosses.last().endedAtMillis
        val pendingTrialMillis = trialsSinceCompletion.values.filter { it > lastLossMillis }.maxOrNull()
        if (pendingTrialMillis != null) return pendingTrialMillis + settings.pendingCrashTrialMillis
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

    fun withCompletion(atMillis: Long): CrashRecord = copy(completedAtMillis = maxOf(completedAtMillis, atMillis))

    /** The losses and trials since the last complete answer, without the losses in [excluded], as reports to other hosts. */
    fun evidence(
        fingerprint: String,
        excluded: Set<LossId>,
        nowMillis: Long,
    ): List<CrashEvidence> {
        val reportedLosses = losses.filter { (id, loss) -> id !in excluded && !loss.isWithdrawn && loss.endedAtMillis > completedAtMillis }
        return reportedLosses.map { (id, loss) ->
            val startedMillisAgo = nowMillis - loss.startedAtMillis
            val endedMillisAgo = nowMillis - loss.endedAtMillis
            CrashEvidence(CrashEvidenceKind.CONNECTION_LOST, fingerprint, id.attemptId, id.serverId, startedMillisAgo, endedMillisAgo)
        } +
            trialsSinceCompletion.map { (attemptId, atMillis) ->
                val millisAgo = nowMillis - atMillis
                CrashEvidence(CrashEvidenceKind.TRIED, fingerprint, attemptId, "", millisAgo, millisAgo)
            }
    }

    private fun <K, V> PersistentMap<K, V>.newest(atMillis: (V) -> Long): PersistentMap<K, V> =
        if (size <= MAX_ENTRIES) this else remove(entries.minBy { atMillis(it.value) }.key)

    private companion object {
        const val MAX_ENTRIES = 16
    }
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
