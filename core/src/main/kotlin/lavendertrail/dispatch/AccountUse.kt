package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import lavendertrail.membership.AccountShare
import lavendertrail.model.AccountId
import lavendertrail.model.NodeId

/** Calls of an account at another node, as that node last reported them. */
internal data class PeerShare(
    val running: Int,
    val waiting: Int,
    val receivedMillis: Long,
)

/**
 * Running calls per account at this node and, from their last reports, at the other nodes.
 *
 * The concurrency limit of an account is divided between the nodes without a shared counter. Each node's part is
 * proportional to its running and waiting calls, and is at most what the other nodes' running calls leave. A part is at
 * least 1, so the sum may exceed the limit by the number of nodes that serve the account. The report of a node that no
 * longer sends any expires.
 */
internal data class AccountUse(
    private val running: PersistentMap<AccountId, Int> = persistentHashMapOf(),
    private val peers: PersistentMap<AccountId, PersistentMap<NodeId, PeerShare>> = persistentHashMapOf(),
    val blockedAccounts: PersistentSet<AccountId> = persistentHashSetOf(),
) {
    fun runningOf(account: AccountId): Int = running[account] ?: 0

    fun runningAccounts(): Map<AccountId, Int> = running

    fun withStartedCall(account: AccountId): AccountUse = copy(running = running.put(account, runningOf(account) + 1))

    fun withEndedCall(account: AccountId): AccountUse {
        val remaining = runningOf(account) - 1
        return copy(running = if (remaining <= 0) running.remove(account) else running.put(account, remaining))
    }

    fun withBlocked(
        account: AccountId,
        isBlocked: Boolean,
    ): AccountUse = copy(blockedAccounts = if (isBlocked) blockedAccounts.add(account) else blockedAccounts.remove(account))

    /** Number of calls of the account that may run at this node. */
    fun allowedCalls(
        account: AccountId,
        limit: Int,
        waitingHere: Int,
        nowMillis: Long,
        expiryMillis: Long,
    ): Int {
        val recentShares = peers[account]?.values?.filter { nowMillis - it.receivedMillis <= expiryMillis }
        if (recentShares.isNullOrEmpty()) return maxOf(1, limit)
        val demandHere = (runningOf(account) + waitingHere).coerceAtLeast(1)
        val demand = demandHere + recentShares.sumOf { it.running + it.waiting }
        val part = limit.toLong() * demandHere / demand
        val unused = limit - recentShares.sumOf { it.running }
        return minOf(part, unused.toLong()).toInt().coerceAtLeast(1)
    }

    /** Replaces the shares of [node] by [shares]; an account that is missing there no longer has calls at [node]. */
    fun withPeerShares(
        node: NodeId,
        shares: List<AccountShare>,
        nowMillis: Long,
    ): AccountUse {
        val reported = shares.associateBy { AccountId(it.account) }
        val missing = peers.filter { node in it.value && it.key !in reported }.keys
        val remaining =
            missing.fold(peers) { rest, account ->
                val otherNodes = rest.getValue(account).remove(node)
                if (otherNodes.isEmpty()) rest.remove(account) else rest.put(account, otherNodes)
            }
        val updated =
            reported.entries.fold(remaining) { rest, (account, share) ->
                val byNode = rest[account] ?: persistentHashMapOf()
                rest.put(account, byNode.put(node, PeerShare(share.runningCalls, share.waitingCalls, nowMillis)))
            }
        return copy(peers = updated)
    }
}
