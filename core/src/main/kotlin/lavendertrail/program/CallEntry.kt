package lavendertrail.program

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.CallResult
import lavendertrail.model.Message

/**
 * Progress of a started call. `CallStarted` and `CallFinished` are appended when a call enters [STARTING] and [FINISHING]; their
 * acknowledgement moves it to [RUNNING] and [DONE].
 */
internal enum class CallPhase {
    /** `CallStarted` is not acknowledged yet. It may be on one journal copy, where the next owner finds it and runs the call. */
    STARTING,

    /** `CallStarted` is acknowledged, and dispatch runs the call. */
    RUNNING,

    /** The result is known to this node, but `CallFinished` is not acknowledged yet. */
    FINISHING,

    /** `CallFinished` is acknowledged, so the outcome is durable and may be sent to callers. */
    DONE,
}

/** Upper bound of a call's usage. It counts against the budget from `CallStarted` until the actual usage is known. */
internal data class Reservation(
    val tokens: Long,
    val costMicros: Long,
    val turns: Int,
)

/**
 * A started call. [originalCall] is the first call with the same idempotency key, whose outcome this call shares.
 * [messages] are those that the call added to the program's history. From [retryAtMillis] on, a refused call may be
 * submitted again at the same position.
 */
internal data class CallEntry(
    val position: Int,
    val phase: CallPhase,
    val kind: String,
    val target: String,
    val bodyDigest: Digest,
    val repeatable: Boolean,
    val key: String?,
    val reservation: Reservation,
    val deadlineMillis: Long,
    val startedMillis: Long,
    val body: CallBody? = null,
    val chain: PromptChain? = null,
    val waiters: PersistentList<Long> = persistentListOf(),
    val submittedMillis: Long = startedMillis,
    val durableMillis: Long? = null,
    val dispatchedMillis: Long? = null,
    val finishedMillis: Long? = null,
    val recovered: Boolean = false,
    val resumeOnly: Boolean = false,
    val cancelled: Boolean = false,
    val result: CallResult? = null,
    val messages: List<Message> = emptyList(),
    val originalCall: CallId? = null,
    val retryAtMillis: Long? = null,
)

/** A buffered call that waits for the calls at earlier positions. It has no record in the journal. */
internal data class WaitingCall(
    val request: CallRequest,
    val bodySha256: String,
    val waiters: PersistentList<Long>,
    val submittedMillis: Long,
)

/** The first call with an idempotency key in a tree of programs. [followers] are later calls that wait for its outcome. */
internal data class KeyUse(
    val call: CallId,
    val bodyDigest: Digest,
    val result: KeyResult? = null,
    val followers: PersistentList<CallId> = persistentListOf(),
)
