package lavendertrail.dev

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import lavendertrail.history.sha256Hex
import lavendertrail.http.HttpClientLimits
import lavendertrail.http.httpClient
import lavendertrail.model.Message
import java.util.concurrent.ConcurrentHashMap

/** What the caller of one program observed: the texts of all answered calls and the keys that it used. */
internal class CallerView(
    val program: String,
) {
    val answers = ConcurrentHashMap<Int, String>()
    val keys = ConcurrentHashMap<Int, String>()
    val problems: MutableList<String> = java.util.Collections.synchronizedList(mutableListOf())

    /** Position of a call that may have run and has to be settled by an operator; the program can't continue after it. */
    @Volatile
    var unresolved: Int? = null
}

/**
 * A caller that behaves like an agent framework: it repeats a position with the same body at another node until it is
 * answered, and ends each program after [TURNS] calls, which use up the program's budget of model calls. It alternates
 * between streams, keyed tool calls and results of tools that it ran itself.
 */
internal class RetryingCaller(
    addresses: () -> List<String>,
    private val limitMillis: Long = 40_000,
) {
    private val http = httpClient(HttpClientLimits(connectMillis = 500, idleMillis = 6_000))

    /** Errors after which calls were retried; empty if every call was answered at the first try. */
    val retryCauses: MutableList<String> = java.util.Collections.synchronizedList(mutableListOf())
    val api = ApiCaller(addresses, "barakah-desk-token", http)

    fun open(): CallerView {
        val key = "open-${java.util.UUID.randomUUID()}"
        val body =
            buildJsonObject {
                put("account", "barakah-desk")
                put("assistant", "permit-renewal")
                put("openKey", key)
                putJsonObject("budget") {
                    put("maxTokens", MAX_TOKENS)
                    put("maxCostMicros", 1_000_000)
                    put("maxTurns", (TURNS + 2) / 3)
                    put("maxWallMillis", 600_000)
                }
            }
        return CallerView(
            retried {
                api
                    .post("/v1/programs", body)
                    .getValue("program")
                    .jsonPrimitive.content
            },
        )
    }

    /** Runs a program to its end, or to the first completed call after [stop] returns true. */
    fun runProgram(stop: () -> Boolean): CallerView {
        val view = open()
        while (view.answers.size < TURNS && view.unresolved == null && !stop()) turn(view)
        if (view.answers.size == TURNS) view.requireTurnLimit()
        return view
    }

    fun turn(view: CallerView) {
        val position = view.answers.size
        try {
            view.answers[position] = retried { call(view, position) }
        } catch (refused: ApiCallException) {
            if (refused.reason() == UNRESOLVED) view.unresolved = position else throw refused
        }
    }

    private fun call(
        view: CallerView,
        position: Int,
    ): String =
        when (position % 3) {
            0 -> {
                val answer = api.chat(view.program, position, "permit-desk", listOf(Message("user", "turn $position")), CHAT_TOKENS)
                if (sha256Hex(answer.text) != answer.textSha256) view.problems += "answer $position is incomplete"
                answer.text
            }

            1 -> {
                val key = view.keys.getOrPut(position) { "fee-${view.program}-$position" }
                api
                    .tool(view.program, position, "fee-charge", """{"position":$position}""", key)
                    .getValue("text")
                    .jsonPrimitive.content
            }

            else -> {
                api
                    .toolResult(view.program, position, "own-tool", "result $position")
                    .getValue("text")
                    .jsonPrimitive.content
            }
        }

    private fun CallerView.requireTurnLimit() {
        try {
            retried { call(this, TURNS) }
            problems += "a call beyond the turn limit was answered"
        } catch (refused: ApiCallException) {
            if (refused.status != PAYMENT_REQUIRED) problems += "a call beyond the turn limit: ${refused.message}"
        }
    }

    /** Repeats [action] after broken connections and temporary refusals. */
    private fun <T> retried(action: () -> T): T {
        val deadlineNanos = System.nanoTime() + limitMillis * 1_000_000
        while (true) {
            try {
                return action()
            } catch (refused: ApiCallException) {
                if (!refused.isRetryable() || System.nanoTime() > deadlineNanos) throw refused
                retryCauses += refused.toString()
            } catch (broken: java.io.IOException) {
                if (System.nanoTime() > deadlineNanos) throw broken
                retryCauses += broken.toString()
            }
            Thread.sleep(20)
        }
    }

    /** Includes status 200, because a stream without a final event was cut off when its node stopped. */
    private fun ApiCallException.isRetryable(): Boolean =
        reason() != UNRESOLVED && status in setOf(OK, TOO_MANY_REQUESTS, UNAVAILABLE, TIMED_OUT)

    companion object {
        const val TURNS = 12
        const val MAX_TOKENS = 100_000L
        const val CHAT_TOKENS = 24
        private const val UNRESOLVED = "unresolved"
        private const val OK = 200
        private const val PAYMENT_REQUIRED = 402
        private const val TOO_MANY_REQUESTS = 429
        private const val UNAVAILABLE = 503
        private const val TIMED_OUT = 504
    }
}

internal fun ApiCallException.reason(): String? =
    runCatching {
        Json
            .parseToJsonElement(body)
            .jsonObject["reason"]
            ?.jsonPrimitive
            ?.content
    }.getOrNull()

internal fun ApiCallException.outcome(): String? =
    runCatching {
        Json
            .parseToJsonElement(body)
            .jsonObject["outcome"]
            ?.jsonPrimitive
            ?.content
    }.getOrNull()
