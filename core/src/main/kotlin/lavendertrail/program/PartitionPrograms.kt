package lavendertrail.program

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.ProgramId

/**
 * A partition that this node owns. [appendFailure] is set from a failed append until the next acknowledgement. [evicted]
 * holds the digests of the ids of ended programs that are no longer in memory (about 80 bytes each), so that an id is never
 * opened a second time. [damaged] holds the programs whose records fail verification, with the reason.
 */
internal data class PartitionPrograms(
    val epoch: Long,
    val draining: Boolean = false,
    val drained: Boolean = false,
    val appendFailure: String? = null,
    val pending: PersistentList<PendingAppend> = persistentListOf(),
    val openCalls: Int = 0,
    val programs: PersistentSet<ProgramId> = persistentHashSetOf(),
    val evicted: PersistentSet<Digest> = persistentHashSetOf(),
    val damaged: PersistentMap<ProgramId, String> = persistentHashMapOf(),
)

/** An append that is not acknowledged yet, with the acknowledgements to handle, one for each of its records, in order. */
internal data class PendingAppend(
    val appendId: Long,
    val acknowledgements: List<Acknowledgement>,
)

/** The acknowledgement of one record by the journal. */
internal sealed interface Acknowledgement {
    val program: ProgramId

    data class Opened(
        override val program: ProgramId,
    ) : Acknowledgement

    data class Started(
        val call: CallId,
    ) : Acknowledgement {
        override val program: ProgramId get() = call.program
    }

    data class Finished(
        val call: CallId,
    ) : Acknowledgement {
        override val program: ProgramId get() = call.program
    }

    data class Settled(
        val call: CallId,
        val result: CallResult,
        val requestId: Long? = null,
    ) : Acknowledgement {
        override val program: ProgramId get() = call.program
    }

    data class Ended(
        override val program: ProgramId,
    ) : Acknowledgement

    data class ChildOpened(
        override val program: ProgramId,
    ) : Acknowledgement
}
