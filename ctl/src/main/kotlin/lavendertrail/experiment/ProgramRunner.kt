package lavendertrail.experiment

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import lavendertrail.dev.ApiCallException
import lavendertrail.dev.ApiCaller
import lavendertrail.http.HttpCallException
import lavendertrail.model.Message
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Runs planned programs like a caller: calls are made in sequence, and refused calls are retried. */
internal class ProgramRunner(
    private val caller: ApiCaller,
    private val traces: ConcurrentHashMap<String, ProgramCacheTrace>,
    private val refusals: AtomicInteger,
) {
    /** Runs [plan] to its end. Returns false if a call failed permanently. */
    fun run(plan: ProgramPlan): Boolean =
        try {
            val program = retrying { caller.open(plan.account, plan.agent.assistant, openKey = "program-${plan.number}") }
            runAgent(program, plan.agent)
            true
        } catch (_: ApiCallException) {
            false
        } catch (_: HttpCallException) {
            false
        }

    private fun runAgent(
        program: String,
        plan: AgentPlan,
    ) {
        recordTrace(program, plan, Long.MAX_VALUE)
        var position = 0
        var children = 0
        var isFirst = true
        plan.steps.forEach { step ->
            when (step) {
                is PlanStep.Chat -> {
                    val systemMessages = if (isFirst) listOf(Message("system", plan.sharedText)) else emptyList()
                    val body = chatBody(program, position++, plan.model, systemMessages + Message("user", step.text), step.answerTokens)
                    isFirst = false
                    retrying { caller.post("/v1/chat/completions", body) }
                }

                is PlanStep.Tool -> {
                    val key = if (step.repeatable) null else "$program-$position"
                    val callPosition = position++
                    retrying { caller.tool(program, callPosition, step.tool, "{}", key) }
                }

                is PlanStep.SubAgent -> {
                    val number = ++children
                    runAgent(retrying { caller.openChild(program, number, step.agent.assistant) }, step.agent)
                }
            }
        }
        recordTrace(program, plan, System.currentTimeMillis())
        retrying { caller.end(program) }
    }

    private fun recordTrace(
        program: String,
        plan: AgentPlan,
        endedMillis: Long,
    ) {
        val sharedKey = "${plan.model} ${plan.sharedText.take(SHARED_KEY_CHARS)}"
        traces[program] = ProgramCacheTrace(sharedKey, plan.sharedTokens.toLong(), endedMillis)
    }

    /**
     * Retries calls that the node refused with a retry delay, because these did not run, and calls whose connection failed.
     * Positions and keys make the retries safe.
     */
    private fun <T> retrying(call: () -> T): T {
        var attempts = 0
        while (true) {
            val waitMillis =
                try {
                    return call()
                } catch (e: ApiCallException) {
                    refusals.incrementAndGet()
                    if (++attempts >= MAX_ATTEMPTS) throw e
                    e.retryAfterMillis() ?: throw e
                } catch (e: HttpCallException) {
                    if (++attempts >= MAX_ATTEMPTS) throw e
                    RECONNECT_DELAY_MILLIS
                }
            Thread.sleep(waitMillis)
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 20
        const val RECONNECT_DELAY_MILLIS = 200L
        const val SHARED_KEY_CHARS = 60
    }
}

private fun ApiCallException.retryAfterMillis(): Long? =
    (
        runCatching {
            Json
                .parseToJsonElement(
                    body,
                ).jsonObject
        }.getOrNull()?.get("retryAfterMillis") as? JsonPrimitive
    )?.content?.toLongOrNull()

private fun chatBody(
    program: String,
    position: Int,
    model: String,
    messages: List<Message>,
    maxTokens: Int,
): JsonObject =
    buildJsonObject {
        put("model", model)
        put("max_tokens", maxTokens)
        putJsonArray("messages") {
            messages.forEach {
                addJsonObject {
                    put("role", it.role)
                    put("content", it.content)
                }
            }
        }
        putJsonObject("lavendertrail") {
            put("program", program)
            put("position", position)
        }
    }
