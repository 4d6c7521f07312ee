package lavendertrail.program

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.CallResult
import lavendertrail.model.Message

/** How far a started call is. The record that starts or ends a phase is appended before, and acknowledged at, the change. */
internal enum class CallPhase {
    /** `CallStarted` is not acknowledged. Another owner may find it, so the call may run. */
    STARTING,

    /** `CallStarted` is acknowledged, and the call is with dispatch. */
    RUNNING,

    /** The result is known here, and `CallFinished` is not acknowledged. */
    FINISHING,

    /** The outcome is durable and may be answered. */
    DONE,
}

/** What a call may use at most; held from `CallStarted` until the use is known. */
internal data class Reservation(
    val tokens: Long,
    val costMicros: Long,
    val turns: Int,
)

/**
 * A call that was started. [sameAs] names the first call with the same key, whose outcome this one shares.
 * [messages] are those that the call added to the program's history. At [reopensAtMillis] a refused call may be
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
    val sameAs: CallId? = null,
    val reopensAtMillis: Long? = null,
)

/** A call that waits for its turn. Nothing of it is in the journal. */
internal data class WaitingCall(
    val request: CallRequest,
    val bodySha256: String,
    val waiters: PersistentList<Long>,
    val submittedMillis: Long,
)

/** The first use of a key in a tree of programs. [followers] wait for its outcome at other positions. */
internal data class KeyUse(
    val call: CallId,
    val bodyDigest: Digest,
    val result: KeyResult? = null,
    val followers: PersistentList<CallId> = persistentListOf(),
)
