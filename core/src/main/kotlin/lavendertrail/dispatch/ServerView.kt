package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.config.ServerRecord
import lavendertrail.model.CallId
import lavendertrail.reducer.ServerLoad

/** This node's view of one backend server: its own calls there, the last load report, and values derived from measurements. */
internal data class ServerView(
    val running: PersistentMap<CallId, Int> = persistentHashMapOf(),
    val load: ServerLoad? = null,
    val loadReceivedMillis: Long = 0,
    /** Running and waiting calls of other nodes: those in the last report minus this node's own. */
    val otherNodesRunning: Int = 0,
    /** Uncached prompt tokens of this node's calls that have no first token yet. */
    val pendingPrefillTokens: Int = 0,
    val limit: LimitState = LimitState(),
    val reachable: Boolean = true,
    val unreachableSinceMillis: Long = 0,
    val incarnation: String? = null,
    val backoffUntilMillis: Long = 0,
    val backoffMillis: Long = 0,
    /** The suspected poison request that runs alone on the server, or for which the server is reserved. */
    val isolatedBy: CallId? = null,
    val connectionLosses: List<ConnectionLoss> = emptyList(),
    val heldCalls: List<CallId> = emptyList(),
    val lastSeenMillis: Long = 0,
    val lastPolledMillis: Long = Long.MIN_VALUE / 2,
    val averageCallMillis: Double = 0.0,
    val pins: PinLedger = PinLedger(),
) {
    /** Whether a lost connection may have been a crash. A crash would also be counted against calls that are sent now. */
    val hasUnresolvedLoss: Boolean get() = connectionLosses.any { it.unresolved }

    /**
     * Running calls of all nodes: this node's own, which are known exactly, plus those of other nodes by the last report. An
     * old report therefore neither hides calls that this node sent since nor counts those that have ended.
     */
    fun estimatedRunning(
        nowMillis: Long,
        staleMillis: Long,
    ): Int {
        val isFresh = load != null && nowMillis - loadReceivedMillis <= staleMillis
        return running.size + if (isFresh) otherNodesRunning else 0
    }

    /** Prompt tokens that the server computes before those of a new call. */
    fun prefillTokensAhead(
        nowMillis: Long,
        staleMillis: Long,
    ): Int {
        val report = load?.takeIf { nowMillis - loadReceivedMillis <= staleMillis } ?: return pendingPrefillTokens
        return maxOf(pendingPrefillTokens, report.waitingPromptTokens)
    }

    fun cacheFillPercent(record: ServerRecord): Int {
        val report = load ?: return 0
        val capacity = if (report.capacityCacheTokens > 0) report.capacityCacheTokens else record.cacheCapacityTokens
        return if (capacity <= 0) 0 else (report.usedCacheTokens * 100 / capacity).toInt()
    }
}

/**
 * A lost connection of an attempt. While it is [unresolved] it is unknown whether the server crashed, and the request counts
 * as running there. It is kept for a while afterwards, since a crash may become known late.
 */
internal data class ConnectionLoss(
    val fingerprint: String,
    val call: CallId,
    val atMillis: Long,
    val unresolved: Boolean = true,
)
