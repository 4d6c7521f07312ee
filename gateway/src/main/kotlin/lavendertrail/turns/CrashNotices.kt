package lavendertrail.turns

import lavendertrail.serving.CrashEvidence
import lavendertrail.serving.CrashEvidenceKind

/**
 * What entry hosts have reported about requests that may crash servers. Reports are passed on at once over the open sessions, and
 * kept for hosts that missed that. Those about requests with several losses are on disk, since all hosts may restart together.
 */
internal class CrashNotices(
    private val sessions: OpenSessions,
    private val file: CrashNoticeFile,
    private val nowMillis: () -> Long,
) {
    private val notices = LinkedHashMap<NoticeKey, Notice>()

    private class Notice(
        val evidence: CrashEvidence,
        val receivedAtMillis: Long,
    )

    /** Identifies what a report is about. Several hosts may report the same again when a turn host has started. */
    private data class NoticeKey(
        val kind: CrashEvidenceKind,
        val fingerprint: String,
        val attemptId: String,
        val serverId: String,
        val senderId: String,
    )

    private val CrashEvidence.key get() = NoticeKey(kind, fingerprint, attemptId, serverId, senderId)

    init {
        val now = nowMillis()
        for (saved in file.load()) notices[saved.key] = Notice(saved, now)
    }

    fun report(evidence: List<CrashEvidence>) {
        val newEvidence = evidence.filter { it.key !in notices }
        if (newEvidence.isEmpty()) return
        val now = nowMillis()
        newEvidence.forEach { notices[it.key] = Notice(it, now) }
        while (notices.size > MAX_NOTICES) notices.remove(leastNeeded())
        sessions.push(TurnMethods.crashNotice, CrashNotice(newEvidence))
        file.save { noticesOfRepeatedLosses().map { it.agedBy(nowMillis() - it.receivedAtMillis) } }
    }

    /** What the host of [request] has probably missed, oldest first: everything that still matters for a new connection. */
    fun missedBy(request: MeetRequest): List<CrashEvidence> {
        val now = nowMillis()
        notices.values.removeIf { now - it.receivedAtMillis + it.evidence.endedMillisAgo > RETENTION_MILLIS }
        val recent = notices.values.filter { now - it.receivedAtMillis <= RECENT_MILLIS }
        val missed = if (request.isFirst) (noticesOfRepeatedLosses() + recent).distinct() else recent
        return missed.map { it.agedBy(now - it.receivedAtMillis) }
    }

    private fun noticesOfRepeatedLosses(): List<Notice> {
        val lossCounts = lossCounts()
        return notices.values.filter { (lossCounts[it.evidence.fingerprint] ?: 0) >= MIN_REPEATED_LOSSES }
    }

    private fun lossCounts(): Map<String, Int> =
        notices.keys
            .filter { it.kind == CrashEvidenceKind.CONNECTION_LOST }
            .groupingBy { it.fingerprint }
            .eachCount()

    /** The oldest notice about a request with a single loss, since most of these are lost by chance; else the oldest one. */
    private fun leastNeeded(): NoticeKey {
        val lossCounts = lossCounts()
        return notices.keys.firstOrNull { (lossCounts[it.fingerprint] ?: 0) < MIN_REPEATED_LOSSES } ?: notices.keys.first()
    }

    private fun Notice.agedBy(millis: Long) =
        evidence.copy(startedMillisAgo = evidence.startedMillisAgo + millis, endedMillisAgo = evidence.endedMillisAgo + millis)

    private companion object {
        /** As long as entry hosts remember what they saw. */
        const val RETENTION_MILLIS = 86_400_000L

        /** Several intervals at which entry hosts ask for what they missed. */
        const val RECENT_MILLIS = 20_000L
        const val MAX_NOTICES = 1_000

        /** One less than the crashes that isolate a request, since the next one may be seen by another host. */
        const val MIN_REPEATED_LOSSES = 2
    }
}
