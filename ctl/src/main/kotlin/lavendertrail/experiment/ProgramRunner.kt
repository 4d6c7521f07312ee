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

/** Runs planned programs as a caller does: each call waits for the one before, and a refused call is made again. */
internal class ProgramRunner(
    private val caller: ApiCaller,
    private val traces: ConcurrentHashMap<String, ProgramTrace>,
    private val refusals: AtomicInteger,
) {
    /** Runs [plan] to its end; false where a call failed for good. */
    fun run(plan: ProgramPlan): Boolean =
        try {
            val program = again { caller.open(plan.account, plan.agent.assistant, openKey = "program-${plan.number}") }
            agent(program, plan.agent)
            true
        } catch (_: ApiCallException) {
            false
        } catch (_: HttpCallException) {
            false
        }

    private fun agent(
        program: String,
        plan: AgentPlan,
    ) {
        trace(program, plan, Long.MAX_VALUE)
        var position = 0
        var children = 0
        var isFirst = true
        plan.steps.forEach { step ->
            when (step) {
                is PlanStep.Chat -> {
                    val shared = if (isFirst) listOf(Message("system", plan.sharedText)) else emptyList()
                    val body = chatBody(program, position++, plan.model, shared + Message("user", step.text), step.answerTokens)
                    isFirst = false
                    again { caller.post("/v1/chat/completions", body) }
                }

                is PlanStep.Tool -> {
                    val key = if (step.repeatable) null else "$program-$position"
                    val place = position++
                    again { caller.tool(program, place, step.tool, "{}", key) }
                }

                is PlanStep.SubAgent -> {
                    val number = ++children
                    agent(again { caller.openChild(program, number, step.agent.assistant) }, step.agent)
                }
            }
        }
        trace(program, plan, System.currentTimeMillis())
        again { caller.end(program) }
    }

    private fun trace(
        program: String,
        plan: AgentPlan,
        endedMillis: Long,
    ) {
        traces[program] = ProgramTrace("${plan.model} ${plan.sharedText.take(SHARED_KEY_CHARS)}", plan.sharedTokens.toLong(), endedMillis)
    }

    /** Positions and keys make it safe to repeat any call that the node says did not run, or whose connection broke. */
    private fun <T> again(call: () -> T): T {
        var tries = 0
        while (true) {
            val waitMillis =
                try {
                    return call()
                } catch (fault: ApiCallException) {
                    refusals.incrementAndGet()
                    if (++tries >= MAX_TRIES) throw fault
                    fault.retryAfterMillis() ?: throw fault
                } catch (fault: HttpCallException) {
                    if (++tries >= MAX_TRIES) throw fault
                    RECONNECT_MILLIS
                }
            Thread.sleep(waitMillis)
        }
    }

    private companion object {
        const val MAX_TRIES = 20
        const val RECONNECT_MILLIS = 200L
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
