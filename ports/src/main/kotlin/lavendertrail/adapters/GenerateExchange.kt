package lavendertrail.adapters

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import lavendertrail.http.withIdleLimit
import lavendertrail.ports.AttemptError
import lavendertrail.ports.GenerateRequest
import lavendertrail.ports.Generated
import lavendertrail.reducer.AttemptFailure
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import java.io.IOException

/**
 * One `generate` of an engine. After [GenerateRequest.idleLimitMillis] without a byte the stream is resumed once over a
 * fresh connection, where the engine replays it from the first byte; only when that is silent too the attempt is idle.
 * At the deadline the connection is cut; the engine knows the deadline and ends the call by itself.
 */
internal class GenerateExchange(
    private val peer: JsonPeer,
    private val fresh: JsonPeer,
    private val request: GenerateRequest,
    private val onText: (String) -> Unit,
) {
    private val wallClock = System::currentTimeMillis
    private var passedChars = 0

    @Volatile
    private var current: Response? = null

    fun run(): Result<Generated, AttemptError> {
        if (remainingMillis() <= 0) return failed(AttemptFailure.DEADLINE, "the deadline passed before the request was sent")
        val watchdog = Deadlines.schedule(remainingMillis()) { current?.close() }
        return try {
            runGuarded()
        } finally {
            watchdog.cancel(false)
        }
    }

    private fun runGuarded(): Result<Generated, AttemptError> {
        val first = attempt(peer, if (request.resume) resumeRequest() else startRequest(), resuming = request.resume)
        val error = first.getError()
        return if (error?.failure == AttemptFailure.IDLE) resumeOnce(error) else first
    }

    private fun resumeOnce(idle: AttemptError): Result<Generated, AttemptError> {
        val second = attempt(fresh, resumeRequest(), resuming = true)
        val error = second.getError() ?: return second
        val message = "${idle.error.message}; on a fresh connection: ${error.error.message}"
        return when (error.failure) {
            AttemptFailure.ERROR, AttemptFailure.DEADLINE, AttemptFailure.CONNECTION_LOST -> second
            AttemptFailure.REJECTED -> failed(AttemptFailure.CONNECTION_LOST, message)
            else -> failed(AttemptFailure.IDLE, message)
        }
    }

    private fun attempt(
        via: JsonPeer,
        http: Request,
        resuming: Boolean,
    ): Result<Generated, AttemptError> {
        val idleMillis = minOf(request.idleLimitMillis, remainingMillis())
        return try {
            val response = via.open(http.withIdleLimit(idleMillis))
            current = response
            response.use { read(it, resuming) }
        } catch (e: IOException) {
            failed(failureOf(e), e.message.orEmpty())
        } catch (e: IllegalArgumentException) {
            failed(AttemptFailure.ERROR, "unreadable event: ${e.message}")
        }
    }

    private fun read(
        response: Response,
        resuming: Boolean,
    ): Result<Generated, AttemptError> {
        if (remainingMillis() <= 0) return failed(AttemptFailure.DEADLINE, "the deadline passed while the call ran")
        val status = response.status.code
        if (status !in JsonPeer.SUCCESS) {
            val failure = if (status == NOT_FOUND && resuming) AttemptFailure.UNKNOWN_STREAM else failureOfStatus(status)
            return failed(failure, "status $status: ${response.bodyString().take(JsonPeer.MAX_QUOTED_CHARS)}")
        }
        return EngineEvents(response.body.stream, ::pass).read(::failed)
    }

    /** Passes [text], which starts at [offset] of the answer, without what was passed before. */
    private fun pass(
        offset: Int,
        text: String,
    ) {
        val known = passedChars - offset
        if (known >= text.length) return
        val added = if (known > 0) text.substring(known) else text
        passedChars = offset + text.length
        onText(added)
    }

    private fun failureOf(cause: IOException): AttemptFailure =
        when {
            remainingMillis() <= 0 -> AttemptFailure.DEADLINE
            !cause.mayHaveBeenSent -> AttemptFailure.REJECTED
            cause.isTimeout -> AttemptFailure.IDLE
            else -> AttemptFailure.CONNECTION_LOST
        }

    private fun startRequest(): Request {
        val body =
            ChatBody(
                model = request.model.value,
                messages = request.messages,
                maxTokens = request.maxTokens,
                temperature = request.temperature,
                lavendertrail =
                    CallFields(
                        call = request.call.toString(),
                        program = request.call.program.value,
                        attempt = request.attempt,
                        priority = request.priority,
                        chainHashes = request.chainHashes,
                        deadlineMillis = request.deadlineMillis,
                        pinMillis = request.pinMillis,
                    ),
            )
        return peer.request(Method.POST, "/v1/chat/completions", wireJson.encodeToString(body))
    }

    private fun resumeRequest(): Request = peer.request(Method.POST, "${streamPath(request.call)}/resume")

    private fun remainingMillis(): Long = request.deadlineMillis - wallClock()

    private fun failed(
        failure: AttemptFailure,
        message: String,
    ): Result<Generated, AttemptError> = Err(AttemptError(failure, peer.error("model call", message)))

    private companion object {
        const val NOT_FOUND = 404
    }
}
