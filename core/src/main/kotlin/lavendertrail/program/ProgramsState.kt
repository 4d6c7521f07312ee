package lavendertrail.program

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.model.CallId
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId

/**
 * Programs of the partitions that this node owns. [callByRequestId] maps a caller's waiting request to its call.
 *
 * It holds no full texts: those of 285 programs of up to 870,000 tokens would need about 1 GB. See [HistoryReader].
 */
@ConsistentCopyVisibility
public data class ProgramsState internal constructor(
    internal val nextAppendId: Long,
    internal val partitions: PersistentMap<PartitionId, PartitionPrograms>,
    internal val programs: PersistentMap<ProgramId, Program>,
    internal val callByRequestId: PersistentMap<Long, CallId>,
    internal val timers: TimerIndex,
) {
    public constructor() : this(1, persistentHashMapOf(), persistentHashMapOf(), persistentHashMapOf(), TimerIndex())
}
