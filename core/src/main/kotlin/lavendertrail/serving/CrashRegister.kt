package lavendertrail.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf

/** Crash records by fingerprint, and the latest losses that this host has seen itself. */
internal data class CrashRegister(
    private val records: PersistentMap<String, CrashRecord> = persistentHashMapOf(),
    val ownLosses: PersistentList<OwnLoss> = persistentListOf(),
) {
    val size: Int get() = records.size

    operator fun get(fingerprint: String): CrashRecord? = records[fingerprint]

    fun withOwnLoss(
        loss: OwnLoss,
        nowMillis: Long,
        settings: ServingSettings,
    ): CrashRegister =
        with(loss.fingerprint, nowMillis, settings) { it.withLoss(loss.id, loss.attempt, nowMillis) }.copy(ownLosses = ownLosses.add(loss))

    fun withAnswer(
        fingerprint: String,
        senderId: String,
        atMillis: Long,
    ): CrashRegister {
        val record = records[fingerprint] ?: return this
        return copy(records = records.put(fingerprint, record.withAnswer(senderId, atMillis)))
    }

    fun with(
        evidence: CrashEvidence,
        nowMillis: Long,
        settings: ServingSettings,
    ): CrashRegister {
        val endedAtMillis = nowMillis - evidence.endedMillisAgo
        if (evidence.kind == CrashEvidenceKind.COMPLETED) return withAnswer(evidence.fingerprint, evidence.senderId, endedAtMillis)
        return with(evidence.fingerprint, nowMillis, settings) { record ->
            if (evidence.kind == CrashEvidenceKind.TRIED) return@with record.withTrial(evidence.attemptId, endedAtMillis, nowMillis)
            val isWithdrawn = evidence.kind == CrashEvidenceKind.SERVER_ALIVE
            val loss =
                LostAttempt(
                    nowMillis - evidence.startedMillisAgo,
                    endedAtMillis,
                    isWithdrawn,
                    isLearnt = true,
                    senderId = evidence.senderId,
                )
            record.withLoss(LossId(evidence.attemptId, evidence.serverId), loss, nowMillis)
        }
    }

    /** What counts against the fingerprints with [minLosses] or more losses, without the losses that may still be withdrawn here. */
    fun evidence(
        minLosses: Int,
        nowMillis: Long,
    ): List<CrashEvidence> {
        val unreported = ownLosses.filterNot { it.isReported }.mapTo(mutableSetOf()) { it.id }
        return records
            .filterValues { it.mostLosses >= minLosses }
            .flatMap { (fingerprint, record) -> record.evidence(fingerprint, unreported, nowMillis) }
    }

    private fun with(
        fingerprint: String,
        nowMillis: Long,
        settings: ServingSettings,
        change: (CrashRecord) -> CrashRecord,
    ): CrashRegister {
        val changed = records.put(fingerprint, change(records[fingerprint] ?: CrashRecord(nowMillis)))
        val expired = changed.filterValues { nowMillis - it.changedAtMillis >= settings.crashRecordRetentionMillis }.keys
        val kept = expired.fold(changed) { rest, key -> rest.remove(key) }
        if (kept.size <= settings.maxCrashRecords) return copy(records = kept)
        // Most records are of a single loss by chance, and must not replace those of requests that crash servers.
        val leastNeeded = kept.minWith(compareBy({ it.value.mostLosses }, { it.value.changedAtMillis }))
        return copy(records = kept.remove(leastNeeded.key))
    }
}

/** A loss that this host has seen. It is reported to other hosts after a while, in which the server may turn out to be alive. */
internal data class OwnLoss(
    val fingerprint: String,
    val id: LossId,
    val attempt: LostAttempt,
    val isReported: Boolean = false,
)
