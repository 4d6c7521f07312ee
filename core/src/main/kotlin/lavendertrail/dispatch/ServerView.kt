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
    /** Calls that this node started and ended there since the load report. */
    val startedSinceLoad: Int = 0,
    val endedSinceLoad: Int = 0,
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
) {
    /** Running calls of all nodes: the last report corrected by what this node started and ended since. */
    fun estimatedRunning(
        nowMillis: Long,
        staleMillis: Long,
    ): Int {
        val report = load?.takeIf { nowMillis - loadAtMillis <= staleMillis } ?: return running.size
        return maxOf(running.size, report.runningCalls + startedSinceLoad - endedSinceLoad)
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

/** An attempt whose connection was lost at a server, kept until it is clear whether the server crashed. */
internal data class Loss(
    val fingerprint: String,
    val call: CallId,
    val atMillis: Long,
)
