package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import lavendertrail.model.AccountId
import lavendertrail.model.CallId
import lavendertrail.model.OwnerId

/** Where a queued call stands: the lane, the share it counts against, and its order within the account. */
internal data class RankKey(
    val lane: Int,
    val owner: OwnerId,
    val account: AccountId,
    val level: Int,
    val order: Long,
    /** The class whose calls are dropped first has the highest number. */
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

/** The first lane holds calls that waited too long; then one lane per service class. */
internal object Lanes {
    const val OVERDUE: Int = 0
    const val FIRST_CLASS: Int = 1
    const val COUNT: Int = 4
}

/**
 * All queued calls: by target and lane, then by owner, then by account in order of attained service, then by rank.
 *
 * Every operation is O(log n) in the number of calls and accounts; owners are few and are scanned. Accounts at their
 * limit are blocked: they keep their calls but leave the order, so that no decision steps over them again and again.
 */
internal data class QueueIndex(
    private val targets: PersistentMap<Target, TargetQueue> = persistentHashMapOf(),
    private val places: PersistentMap<AccountId, PersistentSet<Place>> = persistentHashMapOf(),
    private val waiting: PersistentMap<AccountId, Int> = persistentHashMapOf(),
    private val shed: ShedIndex = ShedIndex(),
    val size: Int = 0,
) {
    data class Place(
        val target: Target,
        val lane: Int,
        val owner: OwnerId,
    )

    fun sizeOf(target: Target): Int = targets[target]?.size ?: 0

    fun sizeOf(
        target: Target,
        lane: Int,
    ): Int = targets[target]?.lanes?.get(lane)?.size ?: 0

    fun waitingOf(account: AccountId): Int = waiting[account] ?: 0

    fun waitingAccounts(): Map<AccountId, Int> = waiting

    fun targets(): Set<Target> = targets.keys

    fun targetsOf(account: AccountId): Set<Target> = places[account].orEmpty().mapTo(HashSet()) { it.target }

    /** The call to drop when the queue is full: the newest of the account that waits most in the lowest class. */
    fun shedCandidate(): CallId? = shed.last()

    fun add(
        target: Target,
        rank: RankKey,
        call: CallId,
        attained: Double,
        weight: Int,
        blocked: Boolean = false,
    ): QueueIndex {
        val place = Place(target, rank.lane, rank.owner)
        val queue = (targets[target] ?: TargetQueue()).change(rank.lane) { it.add(rank, call, attained, blocked) }
        return copy(
            targets = targets.put(target, queue),
            places = places.put(rank.account, (places[rank.account] ?: persistentHashSetOf()).add(place)),
            waiting = waiting.put(rank.account, waitingOf(rank.account) + 1),
            shed = shed.add(rank, call, weight),
            size = size + 1,
        )
    }

    fun remove(
        target: Target,
        rank: RankKey,
    ): QueueIndex {
        val before = targets[target] ?: return this
        val queue = before.change(rank.lane) { it.remove(rank) }
        if (queue.size == before.size) return this
        val left = waitingOf(rank.account) - 1
        val accountPlaces =
            if (queue.lanes[rank.lane].holds(rank.owner, rank.account)) {
                places
            } else {
                places.withoutPlace(rank.account, Place(target, rank.lane, rank.owner))
            }
        return copy(
            targets = if (queue.size == 0) targets.remove(target) else targets.put(target, queue),
            places = accountPlaces,
            waiting = if (left <= 0) waiting.remove(rank.account) else waiting.put(rank.account, left),
            shed = shed.remove(rank),
            size = size - 1,
        )
    }

    /** The call of [target] that is next. [ownerAttained] is the attained service of an owner over its weight. */
    fun head(
        target: Target,
        ownerAttained: (OwnerId) -> Double,
    ): CallId? {
        val queue = targets[target] ?: return null
        val overdue = queue.lanes[Lanes.OVERDUE]
        val classes = (Lanes.FIRST_CLASS until Lanes.COUNT).firstNotNullOfOrNull { queue.lanes[it].head(ownerAttained) }
        if (overdue.size == 0 || (queue.servedOverdue && classes != null)) return classes
        return overdue.head(ownerAttained) ?: classes
    }

    /** Notes from which lane a call was started, so that overdue calls and the classes alternate. */
    fun served(
        target: Target,
        lane: Int,
    ): QueueIndex {
        val queue = targets[target] ?: return this
        val overdue = lane == Lanes.OVERDUE
        return if (queue.servedOverdue == overdue) this else copy(targets = targets.put(target, queue.copy(servedOverdue = overdue)))
    }

    /** Moves an account within the order after its attained service changed; [blocked] takes it out of the order. */
    fun rekey(
        account: AccountId,
        attained: Double,
        blocked: Boolean,
    ): QueueIndex {
        val accountPlaces = places[account] ?: return this
        var next = targets
        for (place in accountPlaces) {
            val queue = next[place.target] ?: continue
            val changed = queue.change(place.lane) { it.rekey(place.owner, account, attained, blocked) }
            next = next.put(place.target, changed)
        }
        return copy(targets = next)
    }
}

private fun PersistentMap<AccountId, PersistentSet<QueueIndex.Place>>.withoutPlace(
    account: AccountId,
    place: QueueIndex.Place,
): PersistentMap<AccountId, PersistentSet<QueueIndex.Place>> {
    val left = this[account]?.remove(place) ?: return this
    return if (left.isEmpty()) remove(account) else put(account, left)
}
