package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import lavendertrail.model.AccountId
import lavendertrail.model.CallId
import lavendertrail.model.OwnerId

/** The lanes of one target. [lastServedOverdue] tells whether the last started call came from the overdue lane. */
internal data class TargetQueue(
    val lanes: PersistentList<Lane> = List(Lanes.COUNT) { Lane() }.toPersistentList(),
    val size: Int = 0,
    val lastServedOverdue: Boolean = false,
) {
    inline fun updateLane(
        lane: Int,
        change: (Lane) -> Lane,
    ): TargetQueue {
        val before = lanes[lane]
        val after = change(before)
        return copy(lanes = lanes.set(lane, after), size = size + after.size - before.size)
    }
}

internal data class Lane(
    private val owners: PersistentMap<OwnerId, OwnerLane> = persistentHashMapOf(),
    val size: Int = 0,
) {
    fun containsAccount(
        owner: OwnerId,
        account: AccountId,
    ): Boolean = owners[owner]?.accounts?.containsKey(account) == true

    fun add(
        rank: RankKey,
        call: CallId,
        attained: Double,
        blocked: Boolean,
    ): Lane {
        val lane = (owners[rank.owner] ?: OwnerLane()).add(rank, call, attained, blocked)
        return copy(owners = owners.put(rank.owner, lane), size = size + 1)
    }

    fun remove(rank: RankKey): Lane {
        val before = owners[rank.owner] ?: return this
        val after = before.remove(rank) ?: return this
        val next = if (after.accounts.isEmpty()) owners.remove(rank.owner) else owners.put(rank.owner, after)
        return copy(owners = next, size = size - 1)
    }

    fun nextCall(ownerAttained: (OwnerId) -> Double): CallId? {
        if (size == 0) return null
        val owner = owners.entries.filter { it.value.ready.isNotEmpty() }.minByOrNull { ownerAttained(it.key) } ?: return null
        val account = owner.value.ready.firstKey() ?: return null
        return owner.value.accounts[account.account]
            ?.calls
            ?.first()
    }

    fun rekey(
        owner: OwnerId,
        account: AccountId,
        attained: Double,
        blocked: Boolean,
    ): Lane {
        val lane = owners[owner]?.rekey(account, attained, blocked) ?: return this
        return copy(owners = owners.put(owner, lane))
    }
}

/** An owner's accounts with queued calls. [ready] has those that are not blocked, least attained service first. */
internal data class OwnerLane(
    val accounts: PersistentMap<AccountId, AccountLane> = persistentHashMapOf(),
    val ready: SortedTree<AccountKey, Boolean> = SortedTree(),
) {
    fun add(
        rank: RankKey,
        call: CallId,
        attained: Double,
        blocked: Boolean,
    ): OwnerLane {
        val known = accounts[rank.account]
        val lane = known ?: AccountLane(AccountKey(attained, rank.account))
        return copy(
            accounts = accounts.put(rank.account, lane.copy(calls = lane.calls.put(rank.callKey, call))),
            ready = if (known == null && !blocked) ready.put(lane.key, true) else ready,
        )
    }

    fun remove(rank: RankKey): OwnerLane? {
        val lane = accounts[rank.account] ?: return null
        if (rank.callKey !in lane.calls) return null
        val calls = lane.calls.remove(rank.callKey)
        return if (calls.isEmpty()) {
            copy(accounts = accounts.remove(rank.account), ready = ready.remove(lane.key))
        } else {
            copy(accounts = accounts.put(rank.account, lane.copy(calls = calls)))
        }
    }

    fun rekey(
        account: AccountId,
        attained: Double,
        blocked: Boolean,
    ): OwnerLane {
        val lane = accounts[account] ?: return this
        val key = AccountKey(attained, account)
        val without = ready.remove(lane.key)
        return copy(
            accounts = accounts.put(account, lane.copy(key = key)),
            ready = if (blocked) without else without.put(key, true),
        )
    }
}

internal data class AccountLane(
    val key: AccountKey,
    val calls: SortedTree<CallKey, CallId> = SortedTree(),
)

/** Queued calls by class and account, from which the call to drop is chosen when the queue is full. */
internal data class ShedIndex(
    private val order: SortedTree<ShedKey, Boolean> = SortedTree(),
    private val groups: PersistentMap<ShedGroup, ShedCalls> = persistentHashMapOf(),
) {
    data class ShedGroup(
        val shedClass: Int,
        val account: AccountId,
    )

    data class ShedCalls(
        val weight: Int,
        val calls: SortedTree<Long, CallId> = SortedTree(),
    )

    data class ShedKey(
        val shedClass: Int,
        val load: Double,
        val account: AccountId,
    ) : Comparable<ShedKey> {
        override fun compareTo(other: ShedKey): Int = compareValuesBy(this, other, { it.shedClass }, { it.load }, { it.account.value })
    }

    fun shedCandidate(): CallId? = order.lastKey()?.let { groups[ShedGroup(it.shedClass, it.account)]?.calls?.last() }

    fun add(
        rank: RankKey,
        call: CallId,
        weight: Int,
    ): ShedIndex {
        val group = ShedGroup(rank.shedClass, rank.account)
        val before = groups[group] ?: ShedCalls(weight.coerceAtLeast(1))
        return replaceGroup(group, before, before.copy(calls = before.calls.put(rank.order, call)))
    }

    fun remove(rank: RankKey): ShedIndex {
        val group = ShedGroup(rank.shedClass, rank.account)
        val before = groups[group] ?: return this
        return replaceGroup(group, before, before.copy(calls = before.calls.remove(rank.order)))
    }

    private fun replaceGroup(
        group: ShedGroup,
        before: ShedCalls,
        after: ShedCalls,
    ): ShedIndex {
        val without = if (before.calls.isEmpty()) order else order.remove(keyOf(group, before))
        return if (after.calls.isEmpty()) {
            ShedIndex(without, groups.remove(group))
        } else {
            ShedIndex(without.put(keyOf(group, after), true), groups.put(group, after))
        }
    }

    private fun keyOf(
        group: ShedGroup,
        calls: ShedCalls,
    ): ShedKey = ShedKey(group.shedClass, calls.calls.size.toDouble() / calls.weight, group.account)
}
