package lavendertrail.node

import com.github.michaelbull.result.fold
import lavendertrail.model.CallBody
import lavendertrail.model.Message
import lavendertrail.model.StepError
import lavendertrail.model.ToolId
import lavendertrail.model.Usage
import lavendertrail.ports.AttemptError
import lavendertrail.ports.GenerateRequest
import lavendertrail.ports.Generated
import lavendertrail.ports.ModelEngine
import lavendertrail.ports.ToolRequest
import lavendertrail.ports.ToolService
import lavendertrail.program.HistoryReader
import lavendertrail.program.promptChain
import lavendertrail.program.promptMessages
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.CallAttemptFailed
import lavendertrail.reducer.CallCompleted
import lavendertrail.reducer.CallFirstToken
import lavendertrail.reducer.CancelAttempt
import lavendertrail.reducer.Event
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.StartAttempt

/** Sends attempts to model engines and tool services. Each attempt ends in [CallCompleted] or [CallAttemptFailed]. */
internal class AttemptExecutor(
    private val backends: BackendPool,
    private val hub: StreamHub,
    private val historyReader: HistoryReader,
    private val background: BackgroundExecutor,
    private val state: () -> NodeState,
    private val emit: (Event) -> Unit,
    private val gate: PauseGate = PauseGate(),
    private val clock: () -> Long = System::currentTimeMillis,
) {
    /** Opens the stream for the text of the attempt, so that callers can be attached before the attempt is sent. */
    fun openStream(effect: StartAttempt) {
        if (effect.body is CallBody.ModelCall) hub.beginAttempt(effect.call, effect.attempt)
    }

    fun start(effect: StartAttempt) {
        background.run("attempt of ${effect.call}") {
            val event =
                try {
                    run(effect)
                } catch (fault: RuntimeException) {
                    // The request may have been sent before the exception, so it can't be reported as rejected.
                    effect.toFailure(AttemptFailure.CONNECTION_LOST, "attempt failed: $fault")
                }
            hub.attemptEnded(effect.call)
            emit(event)
        }
    }

    fun cancel(effect: CancelAttempt): Unit =
        background.run("cancel of ${effect.call}") {
            backends.engineOrNull(effect)?.cancel(effect.call)
        }

    private fun run(effect: StartAttempt): Event =
        when (val body = effect.body) {
            is CallBody.ModelCall -> {
                val engine = backends.engine(effect.server, markUsed = true)
                if (engine == null) effect.toUnknownServerFailure() else generate(effect, body, engine)
            }

            is CallBody.ToolCall -> {
                val service = backends.tool(effect.server)
                if (service == null) effect.toUnknownServerFailure() else callTool(effect, body, service)
            }

            is CallBody.ToolResult -> effect.toFailure(AttemptFailure.REJECTED, "a tool result is recorded and not sent")
        }

    private fun generate(
        effect: StartAttempt,
        body: CallBody.ModelCall,
        engine: ModelEngine,
    ): Event {
        val messages = state().promptMessages(effect.call, historyReader)
        if (messages.isEmpty()) return effect.toFailure(AttemptFailure.REJECTED, "call ${effect.call} is not open at this node")
        val text = StringBuilder()
        val answer =
            engine.generate(effect.toGenerateRequest(body, messages)) { chunk ->
                gate.awaitOpen()
                if (text.isEmpty()) emit(CallFirstToken(effect.call, effect.attempt))
                text.append(chunk)
                hub.append(effect.call, effect.attempt, chunk)
            }
        return answer.fold(
            { CallCompleted(effect.call, effect.attempt, text.toString(), body.priced(it.usage()), it.load) },
            { effect.toFailure(it, body.priced(it.usage())) },
        )
    }

    private fun StartAttempt.toGenerateRequest(
        body: CallBody.ModelCall,
        prompt: List<Message>,
    ): GenerateRequest =
        GenerateRequest(
            call = call,
            attempt = attempt,
            model = body.model,
            messages = prompt,
            chainHashes = promptChain.ifEmpty { promptChain(prompt) }.map { it.chainHash },
            maxTokens = body.maxTokens,
            temperature = body.temperature,
            priority = priority,
            deadlineMillis = deadlineMillis,
            idleLimitMillis = state().settings.dispatch.streamIdleMillis,
            resume = resume,
            pinMillis = pinMillis,
        )

    private fun CallBody.ModelCall.priced(usage: Usage): Usage = state().config.models[model]?.priced(usage) ?: usage

    private fun callTool(
        effect: StartAttempt,
        body: CallBody.ToolCall,
        service: ToolService,
    ): Event {
        if (effect.resume) return resumeTool(effect, body.tool, service)
        val record = state().config.tools[body.tool]
        val remainingMillis = effect.deadlineMillis - clock()
        if (remainingMillis <= 0) return effect.toFailure(AttemptFailure.REJECTED, "deadline passed before the call was sent")
        val timeoutMillis = minOf(record?.timeoutMillis ?: remainingMillis, remainingMillis)
        return service.call(ToolRequest(body.tool, effect.key, body.arguments, timeoutMillis)).fold(
            { CallCompleted(effect.call, effect.attempt, it, toolUsage(body.tool)) },
            { effect.toFailure(it, null) },
        )
    }

    /** Polls the status of a call that may have run, until it is done or the deadline passes. The call isn't sent again. */
    private fun resumeTool(
        effect: StartAttempt,
        tool: ToolId,
        service: ToolService,
    ): Event {
        val key = effect.key ?: return effect.toFailure(AttemptFailure.UNKNOWN_STREAM, "call has no key, so its status can't be queried")
        var lastStatus = ""
        do {
            service.status(key).fold(
                { status ->
                    if (status == null) return effect.toFailure(AttemptFailure.UNKNOWN_STREAM, "service has not seen key '$key'")
                    if (status.done) return CallCompleted(effect.call, effect.attempt, status.answer.orEmpty(), toolUsage(tool))
                    lastStatus = "call with key '$key' still runs"
                },
                { error: StepError -> lastStatus = error.toString() },
            )
            Thread.sleep(STATUS_POLL_MILLIS)
        } while (clock() < effect.deadlineMillis)
        return effect.toFailure(AttemptFailure.DEADLINE, lastStatus)
    }

    private fun toolUsage(tool: ToolId): Usage = Usage(toolCalls = 1, costMicros = state().config.tools[tool]?.costMicros ?: 0)

    private companion object {
        const val STATUS_POLL_MILLIS = 250L
    }
}

private fun BackendPool.engineOrNull(effect: CancelAttempt): ModelEngine? =
    if (effect.server in recentEngines(Long.MAX_VALUE)) engine(effect.server) else null

private fun Generated.usage(): Usage =
    Usage(promptTokens = promptTokens, cachedTokens = cachedTokens, generatedTokens = generatedTokens, engineMillis = engineMillis)

private fun AttemptError.usage(): Usage = Usage(promptTokens = promptTokens, cachedTokens = cachedTokens, generatedTokens = generatedTokens)

private fun StartAttempt.toUnknownServerFailure(): Event = toFailure(AttemptFailure.REJECTED, "server '$server' is not configured")

private fun StartAttempt.toFailure(
    failure: AttemptFailure,
    message: String,
): Event = CallAttemptFailed(call, attempt, failure, message)

private fun StartAttempt.toFailure(
    error: AttemptError,
    usage: Usage?,
): Event = CallAttemptFailed(call, attempt, error.failure, error.error.toString(), usage)
