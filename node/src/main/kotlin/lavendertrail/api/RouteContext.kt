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

/**
 * Helpers that the routes share: authentication, parsing of program and call ids, deadlines, the check that a program
 * belongs to the account, and submission to the owner node.
 */
internal class RouteContext(
    val router: EntryRouter,
    val authentication: Authentication,
    val limits: ApiLimits,
    val clock: () -> Long = System::currentTimeMillis,
) {
    private val accounts = Collections.synchronizedMap(LruMap<ProgramId, AccountId>(MAX_CACHED_PROGRAMS))

    /** The requested deadline, or the default if none is requested, limited to the latest allowed deadline. */
    fun resolveDeadlineMillis(requestedMillis: Long?): Long {
        val now = clock()
        val latestMillis = now + limits.maxDeadlineMillis
        if (requestedMillis != null && requestedMillis <= now) {
            throw badRequest("deadline $requestedMillis has passed, the current time is $now")
        }
        return minOf(requestedMillis ?: (now + limits.defaultDeadlineMillis), latestMillis)
    }

    fun programOf(request: Request): ProgramId = programId(request.path("id").orEmpty())

    fun programId(value: String): ProgramId =
        ProgramId.parseOrNull(value) ?: throw badRequest("program id '${value.take(MAX_QUOTED_CHARS)}' is malformed")

    fun callId(
        program: ProgramId,
        position: Int,
    ): CallId = if (position >= 0) CallId(program, position) else throw badRequest("position must not be negative, was $position")

    /** Submits a request without a stream and returns its reply; throws [ApiRefusal] if it is refused. */
    fun submit(
        request: SubmitRequest,
        deadlineMillis: Long = resolveDeadlineMillis(null),
    ): SubmitReply {
        val reply = router.submit(request, deadlineMillis)
        if (reply is SubmitReply.Refused) throw ApiRefusal(reply.refusal)
        val refused = (reply as? SubmitReply.Call)?.result as? CallResult.Refused
        if (refused != null) throw ApiRefusal(refused.refusal)
        return reply
    }

    fun cacheAccount(
        program: ProgramId,
        account: AccountId,
    ) {
        accounts[program.root] = account
    }

    /**
     * Throws [ApiRefusal] if [program] belongs to another account. The owner node checks the account of calls itself; requests
     * of other kinds are checked here.
     */
    fun requireOwnProgram(
        program: ProgramId,
        account: AccountRecord,
    ) {
        val programAccount = accounts[program.root] ?: lookUpAccount(program.root).also { cacheAccount(program, it) }
        if (programAccount != account.account) throw notAllowed("program '$program' belongs to another account")
    }

    private fun lookUpAccount(root: ProgramId): AccountId {
        val history = submit(SubmitRequest.History(root)) as? SubmitReply.History
        return history?.records?.openedSpec()?.account ?: throw notFound("program '$root' is not known")
    }

    private companion object {
        const val MAX_QUOTED_CHARS = 100
        const val MAX_CACHED_PROGRAMS = 20_000
    }
}

/** Limits of requests to the API. */
internal data class ApiLimits(
    val maxJsonDepth: Int = 64,
    val defaultDeadlineMillis: Long = 120_000,
    val maxDeadlineMillis: Long = 3_600_000,
    val maxOpenRequests: Int = 900,
)

private class LruMap<K, V>(
    private val maxSize: Int,
) : LinkedHashMap<K, V>(16, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > maxSize

    private companion object {
        const val LOAD_FACTOR = 0.75f
    }
}
