package lavendertrail.api

import lavendertrail.config.AccountRecord
import lavendertrail.model.AccountId
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.ProgramId
import lavendertrail.node.EntryRouter
import lavendertrail.peer.SubmitReply
import lavendertrail.peer.SubmitRequest
import org.http4k.core.Request
import org.http4k.routing.path
import java.util.Collections
import java.util.LinkedHashMap

/** What all routes for callers share: the account, the program named in the path, deadlines, and the way to the owner node. */
internal class Entry(
    val router: EntryRouter,
    val authentication: Authentication,
    val limits: ApiLimits,
    val clock: () -> Long = System::currentTimeMillis,
) {
    private val accounts = Collections.synchronizedMap(BoundedMap<ProgramId, AccountId>(REMEMBERED_PROGRAMS))

    fun deadline(asked: Long?): Long {
        val now = clock()
        val latest = now + limits.maxDeadlineMillis
        if (asked != null && asked <= now) throw badRequest("deadline $asked has passed, the time is $now")
        return minOf(asked ?: (now + limits.defaultDeadlineMillis), latest)
    }

    fun programOf(request: Request): ProgramId = programId(request.path("id").orEmpty())

    fun programId(value: String): ProgramId =
        ProgramId.parseOrNull(value) ?: throw badRequest("program id '${value.take(SHOWN_CHARS)}' has another form")

    fun callId(
        program: ProgramId,
        position: Int,
    ): CallId = if (position >= 0) CallId(program, position) else throw badRequest("position must not be negative, was $position")

    /** Submits a request that has no stream and returns its reply, or refuses. */
    fun submit(
        request: SubmitRequest,
        deadlineMillis: Long = deadline(null),
    ): SubmitReply {
        val reply = router.submit(request, deadlineMillis)
        if (reply is SubmitReply.Refused) throw ApiRefusal(reply.refusal)
        val refused = (reply as? SubmitReply.Call)?.result as? CallResult.Refused
        if (refused != null) throw ApiRefusal(refused.refusal)
        return reply
    }

    fun remember(
        program: ProgramId,
        account: AccountId,
    ) {
        accounts[program.root] = account
    }

    /** Refuses where [program] belongs to another account. The owner node checks calls; other requests are checked here. */
    fun requireOwn(
        program: ProgramId,
        account: AccountRecord,
    ) {
        val owner = accounts[program.root] ?: lookUp(program.root).also { remember(program, it) }
        if (owner != account.account) throw notAllowed("program '$program' belongs to another account")
    }

    private fun lookUp(root: ProgramId): AccountId {
        val history = submit(SubmitRequest.History(root)) as? SubmitReply.History
        return history?.records?.openedSpec()?.account ?: throw notFound("program '$root' is not known")
    }

    private companion object {
        const val SHOWN_CHARS = 100
        const val REMEMBERED_PROGRAMS = 20_000
    }
}

/** Limits of the callers' API. */
internal data class ApiLimits(
    val maxJsonDepth: Int = 64,
    val defaultDeadlineMillis: Long = 120_000,
    val maxDeadlineMillis: Long = 3_600_000,
    val maxOpenRequests: Int = 900,
)

private class BoundedMap<K, V>(
    private val maxSize: Int,
) : LinkedHashMap<K, V>(16, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > maxSize

    private companion object {
        const val LOAD_FACTOR = 0.75f
    }
}
