package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.config.ServerRecord
import lavendertrail.model.CallId
import lavendertrail.reducer.ServerLoad

/** What this node knows of one backend server: its own calls there, the last load report, and what it learned. */
internal data class ServerView(
    val running: PersistentMap<CallId, Int> = persistentHashMapOf(),
    val load: ServerLoad? = null,
    val loadAtMillis: Long = 0,
    /** Calls of other nodes there: what the report counted beyond this node's own. */
    val othersRunning: Int = 0,
    /** Prompt tokens of own calls that have no first token yet. */
    val pendingPrefillTokens: Int = 0,
    val limit: LimitState = LimitState(),
    val reachable: Boolean = true,
    val unreachableSinceMillis: Long = 0,
    val incarnation: String? = null,
    val backoffUntilMillis: Long = 0,
    val backoffMillis: Long = 0,
    /** A suspect that has the server to itself, or is about to. */
    val isolatedBy: CallId? = null,
    val losses: List<Loss> = emptyList(),
    val heldCalls: List<CallId> = emptyList(),
    val heardMillis: Long = 0,
    val polledMillis: Long = Long.MIN_VALUE / 2,
    val callMillis: Double = 0.0,
    val pins: PinLedger = PinLedger(),
) {
    /** A connection was lost there, and nobody knows yet whether the server crashed: what is sent now could be blamed. */
    val isDoubtful: Boolean get() = losses.any { it.open }

    /**
     * Running calls of all nodes: this node's own, which it knows exactly, and the others' by the last report. So a report
     * that is late neither hides what this node sent since nor counts what has ended.
     */
    fun estimatedRunning(
        nowMillis: Long,
        staleMillis: Long,
    ): Int {
        val isFresh = load != null && nowMillis - loadAtMillis <= staleMillis
        return running.size + if (isFresh) othersRunning else 0
    }

    /** Prompt tokens that must be computed there before a new call's. */
    fun tokensAhead(
        nowMillis: Long,
        staleMillis: Long,
    ): Int {
        val report = load?.takeIf { nowMillis - loadAtMillis <= staleMillis } ?: return pendingPrefillTokens
        return maxOf(pendingPrefillTokens, report.waitingPromptTokens)
    }

    fun cacheFillPercent(record: ServerRecord): Int {
        val report = load ?: return 0
        val capacity = if (report.capacityCacheTokens > 0) report.capacityCacheTokens else record.cacheCapacityTokens
        return if (capacity <= 0) 0 else (report.usedCacheTokens * 100 / capacity).toInt()
    }
}

/**
 * An attempt whose connection was lost at a server. While it is [open] it is not clear whether the server crashed, and
 * the request counts as running there; afterwards it is kept for a while, since a crash may become known late.
 */
internal data class Loss(
    val fingerprint: String,
    val call: CallId,
    val atMillis: Long,
    val open: Boolean = true,
)
