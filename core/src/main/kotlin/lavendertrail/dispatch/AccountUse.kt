package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import lavendertrail.membership.AccountShare
import lavendertrail.model.AccountId
import lavendertrail.model.NodeId

/** What another node last said about an account. */
internal data class PeerShare(
    val running: Int,
    val waiting: Int,
    val heardMillis: Long,
)

/**
 * Running calls per account here and, as last heard, at other nodes.
 *
 * The limit of an account is divided without a shared counter: each node's part is in proportion to its running and
 * waiting calls, and it doesn't use more than the others leave. A part is at least 1, so the sum may exceed the limit by
 * the number of nodes that serve the account. Shares of nodes that fell silent expire.
 */
internal data class AccountUse(
    private val running: PersistentMap<AccountId, Int> = persistentHashMapOf(),
    private val peers: PersistentMap<AccountId, PersistentMap<NodeId, PeerShare>> = persistentHashMapOf(),
    val blocked: PersistentSet<AccountId> = persistentHashSetOf(),
) {
    fun runningOf(account: AccountId): Int = running[account] ?: 0

    fun runningAccounts(): Map<AccountId, Int> = running

    fun started(account: AccountId): AccountUse = copy(running = running.put(account, runningOf(account) + 1))

    fun ended(account: AccountId): AccountUse {
        val left = runningOf(account) - 1
        return copy(running = if (left <= 0) running.remove(account) else running.put(account, left))
    }

    fun withBlocked(
        account: AccountId,
        isBlocked: Boolean,
    ): AccountUse = copy(blocked = if (isBlocked) blocked.add(account) else blocked.remove(account))

    /** How many calls of the account may run at this node. */
    fun allowed(
        account: AccountId,
        limit: Int,
        waitingHere: Int,
        nowMillis: Long,
        expiryMillis: Long,
    ): Int {
        val fresh = peers[account]?.values?.filter { nowMillis - it.heardMillis <= expiryMillis }
        if (fresh.isNullOrEmpty()) return maxOf(1, limit)
        val demandHere = (runningOf(account) + waitingHere).coerceAtLeast(1)
        val demand = demandHere + fresh.sumOf { it.running + it.waiting }
        val part = limit.toLong() * demandHere / demand
        val left = limit - fresh.sumOf { it.running }
        return minOf(part, left.toLong()).toInt().coerceAtLeast(1)
    }

    /** All shares that [node] has now; accounts that it no longer names have none there. */
    fun heard(
        node: NodeId,
        shares: List<AccountShare>,
        nowMillis: Long,
    ): AccountUse {
        val named = shares.associateBy { AccountId(it.account) }
        val gone = peers.filter { node in it.value && it.key !in named }.keys
        val without =
            gone.fold(peers) { rest, account ->
                val left = rest.getValue(account).remove(node)
                if (left.isEmpty()) rest.remove(account) else rest.put(account, left)
            }
        val next =
            named.entries.fold(without) { rest, (account, share) ->
                val byNode = rest[account] ?: persistentHashMapOf()
                rest.put(account, byNode.put(node, PeerShare(share.runningCalls, share.waitingCalls, nowMillis)))
            }
        return copy(peers = next)
    }
}
