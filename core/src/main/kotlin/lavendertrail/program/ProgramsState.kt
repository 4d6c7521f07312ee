package lavendertrail.program

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.model.CallId
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId

/**
 * Programs of the partitions that this node owns. [requests] finds the call on which a caller's request waits.
 *
 * Full texts are not kept here: 285 programs of up to 870,000 tokens would need about 1 GB. See [HistoryReader].
 */
@ConsistentCopyVisibility
public data class ProgramsState internal constructor(
    internal val nextAppendId: Long,
    internal val partitions: PersistentMap<PartitionId, PartitionPrograms>,
    internal val programs: PersistentMap<ProgramId, Program>,
    internal val requests: PersistentMap<Long, CallId>,
    internal val deadlines: DeadlineIndex,
) {
    public constructor() : this(1, persistentHashMapOf(), persistentHashMapOf(), persistentHashMapOf(), DeadlineIndex())
}
