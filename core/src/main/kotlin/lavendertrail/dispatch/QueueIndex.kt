package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import lavendertrail.model.AccountId
import lavendertrail.model.CallId
import lavendertrail.model.OwnerId

/** Position of a queued call: its lane, the owner and account it is charged to, and its order within the account. */
internal data class RankKey(
    val lane: Int,
    val owner: OwnerId,
    val account: AccountId,
    val level: Int,
    val order: Long,
    /** Order in which calls are dropped when the queue is full; the highest number first. */
    val shedClass: Int,
) {
    val callKey: CallKey get() = CallKey(level, order)
}

internal data class CallKey(
    val level: Int,
    val order: Long,
) : Comparable<CallKey> {
    override fun compareTo(other: CallKey): Int = if (level != other.level) level.compareTo(other.level) else order.compareTo(other.order)
}

internal data class AccountKey(
    val attained: Double,
    val account: AccountId,
) : Comparable<AccountKey> {
    override fun compareTo(other: AccountKey): Int {
        val order = attained.compareTo(other.attained)
        return if (order != 0) order else account.value.compareTo(other.account.value)
    }
}

/** The first lane has the calls that exceeded the maximum wait of their class. Each service class has one further lane. */
internal object Lanes {
    const val OVERDUE: Int = 0
    const val FIRST_CLASS: Int = 1
    const val COUNT: Int = 4
}

/**
 * All queued calls: by target and lane, then by owner, then by account in order of attained service, then by rank.
 *
 * Every operation is O(log n) in the number of calls and accounts; the few owners are scanned. Accounts at their limit are
 * blocked: their calls stay queued, but they are removed from the order of accounts, so that no decision iterates over them.
 */
internal data class QueueIndex(
    private val targets: PersistentMap<Target, TargetQueue> = persistentHashMapOf(),
    private val lanesByAccount: PersistentMap<AccountId, PersistentSet<OwnerLaneKey>> = persistentHashMapOf(),
    private val waitingByAccount: PersistentMap<AccountId, Int> = persistentHashMapOf(),
    private val shedIndex: ShedIndex = ShedIndex(),
    val size: Int = 0,
) {
    data class OwnerLaneKey(
        val target: Target,
        val lane: Int,
        val owner: OwnerId,
    )

    fun sizeOf(target: Target): Int = targets[target]?.size ?: 0

    fun sizeOf(
        target: Target,
        lane: Int,
    ): Int = targets[target]?.lanes?.get(lane)?.size ?: 0

    fun waitingOf(account: AccountId): Int = waitingByAccount[account] ?: 0

    fun waitingAccounts(): Map<AccountId, Int> = waitingByAccount

    fun targets(): Set<Target> = targets.keys

    fun targetsOf(account: AccountId): Set<Target> = lanesByAccount[account].orEmpty().mapTo(HashSet()) { it.target }

    /** The call to drop when the queue is full: the newest of the account with the most waiting calls over weight in the lowest class. */
    fun shedCandidate(): CallId? = shedIndex.shedCandidate()

    fun add(
        target: Target,
        rank: RankKey,
        call: CallId,
        attained: Double,
        weight: Int,
        blocked: Boolean = false,
    ): QueueIndex {
        val key = OwnerLaneKey(target, rank.lane, rank.owner)
        val queue = (targets[target] ?: TargetQueue()).updateLane(rank.lane) { it.add(rank, call, attained, blocked) }
        return copy(
            targets = targets.put(target, queue),
            lanesByAccount = lanesByAccount.put(rank.account, (lanesByAccount[rank.account] ?: persistentHashSetOf()).add(key)),
            waitingByAccount = waitingByAccount.put(rank.account, waitingOf(rank.account) + 1),
            shedIndex = shedIndex.add(rank, call, weight),
            size = size + 1,
        )
    }

    fun remove(
        target: Target,
        rank: RankKey,
    ): QueueIndex {
        val before = targets[target] ?: return this
        val queue = before.updateLane(rank.lane) { it.remove(rank) }
        if (queue.size == before.size) return this
        val remaining = waitingOf(rank.account) - 1
        val accountLanes =
            if (queue.lanes[rank.lane].containsAccount(rank.owner, rank.account)) {
                lanesByAccount
            } else {
                lanesByAccount.withoutLane(rank.account, OwnerLaneKey(target, rank.lane, rank.owner))
            }
        return copy(
            targets = if (queue.size == 0) targets.remove(target) else targets.put(target, queue),
            lanesByAccount = accountLanes,
            waitingByAccount = if (remaining <= 0) waitingByAccount.remove(rank.account) else waitingByAccount.put(rank.account, remaining),
            shedIndex = shedIndex.remove(rank),
            size = size - 1,
        )
    }

    /** The next call of [target] to start. [ownerAttained] returns the attained service of an owner over its weight. */
    fun nextCall(
        target: Target,
        ownerAttained: (OwnerId) -> Double,
    ): CallId? {
        val queue = targets[target] ?: return null
        val overdue = queue.lanes[Lanes.OVERDUE]
        val classes = (Lanes.FIRST_CLASS until Lanes.COUNT).firstNotNullOfOrNull { queue.lanes[it].nextCall(ownerAttained) }
        if (overdue.size == 0 || (queue.lastServedOverdue && classes != null)) return classes
        return overdue.nextCall(ownerAttained) ?: classes
    }

    /** Records the lane from which a call was started, so that the overdue lane and the class lanes alternate. */
    fun withServedLane(
        target: Target,
        lane: Int,
    ): QueueIndex {
        val queue = targets[target] ?: return this
        val overdue = lane == Lanes.OVERDUE
        if (queue.lastServedOverdue == overdue) return this
        return copy(targets = targets.put(target, queue.copy(lastServedOverdue = overdue)))
    }

    /** Updates the key of an account in the order after its attained service changed; [blocked] removes it from the order. */
    fun rekey(
        account: AccountId,
        attained: Double,
        blocked: Boolean,
    ): QueueIndex {
        val accountLanes = lanesByAccount[account] ?: return this
        var next = targets
        for (key in accountLanes) {
            val queue = next[key.target] ?: continue
            val changed = queue.updateLane(key.lane) { it.rekey(key.owner, account, attained, blocked) }
            next = next.put(key.target, changed)
        }
        return copy(targets = next)
    }
}

private fun PersistentMap<AccountId, PersistentSet<QueueIndex.OwnerLaneKey>>.withoutLane(
    account: AccountId,
    key: QueueIndex.OwnerLaneKey,
): PersistentMap<AccountId, PersistentSet<QueueIndex.OwnerLaneKey>> {
    val remaining = this[account]?.remove(key) ?: return this
    return if (remaining.isEmpty()) remove(account) else put(account, remaining)
}
