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
 * One [generate][lavendertrail.ports.ModelEngine.generate] call to an engine. After [GenerateRequest.idleLimitMillis] without a
 * byte, the stream is resumed once over a new connection, where the engine replays it from the first byte; the attempt only fails
 * as idle if that connection is idle too. At the deadline the connection is closed; the engine knows the deadline and ends the call
 * itself.
 */
internal class GenerateExchange(
    private val peer: JsonPeer,
    private val unpooledPeer: JsonPeer,
    private val request: GenerateRequest,
    private val onText: (String) -> Unit,
) {
    private val wallClock = System::currentTimeMillis
    private var passedChars = 0

    @Volatile
    private var current: Response? = null

    fun run(): Result<Generated, AttemptError> {
        if (remainingMillis() <= 0) return errorResult(AttemptFailure.DEADLINE, "the deadline passed before the request was sent")
        val watchdog = Deadlines.schedule(remainingMillis()) { current?.close() }
        return try {
            runWithResume()
        } finally {
            watchdog.cancel(false)
        }
    }

    private fun runWithResume(): Result<Generated, AttemptError> {
        val first = sendAndRead(peer, if (request.resume) resumeRequest() else startRequest(), resuming = request.resume)
        val error = first.getError()
        return if (error?.failure == AttemptFailure.IDLE) resumeOnce(error) else first
    }

    private fun resumeOnce(idle: AttemptError): Result<Generated, AttemptError> {
        val second = sendAndRead(unpooledPeer, resumeRequest(), resuming = true)
        val error = second.getError() ?: return second
        val message = "${idle.error.message}; on a new connection: ${error.error.message}"
        return when (error.failure) {
            AttemptFailure.ERROR, AttemptFailure.DEADLINE, AttemptFailure.CONNECTION_LOST -> second
            AttemptFailure.REJECTED -> errorResult(AttemptFailure.CONNECTION_LOST, message)
            else -> errorResult(AttemptFailure.IDLE, message)
        }
    }

    private fun sendAndRead(
        target: JsonPeer,
        http: Request,
        resuming: Boolean,
    ): Result<Generated, AttemptError> {
        val idleMillis = minOf(request.idleLimitMillis, remainingMillis())
        return try {
            val response = target.open(http.withIdleLimit(idleMillis))
            current = response
            response.use { readResponse(it, resuming) }
        } catch (e: IOException) {
            errorResult(failureOf(e), e.message.orEmpty())
        } catch (e: IllegalArgumentException) {
            errorResult(AttemptFailure.ERROR, "malformed event: ${e.message}")
        }
    }

    private fun readResponse(
        response: Response,
        resuming: Boolean,
    ): Result<Generated, AttemptError> {
        if (remainingMillis() <= 0) return errorResult(AttemptFailure.DEADLINE, "the deadline passed while the call was running")
        val status = response.status.code
        if (status !in JsonPeer.SUCCESS) {
            val failure = if (status == NOT_FOUND && resuming) AttemptFailure.UNKNOWN_STREAM else failureOfStatus(status)
            return errorResult(failure, "status $status: ${response.bodyString().take(JsonPeer.MAX_QUOTED_CHARS)}")
        }
        return EngineEvents(response.body.stream, ::passNewText).read(::errorResult)
    }

    /** Passes on the part of [text], which starts at [offset] of the answer, that has not been passed on before. */
    private fun passNewText(
        offset: Int,
        text: String,
    ) {
        val knownChars = passedChars - offset
        if (knownChars >= text.length) return
        val added = if (knownChars > 0) text.substring(knownChars) else text
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

    private fun errorResult(
        failure: AttemptFailure,
        message: String,
    ): Result<Generated, AttemptError> = Err(AttemptError(failure, peer.error("model call", message)))

    private companion object {
        const val NOT_FOUND = 404
    }
}
