package lavendertrail.gateway

import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.ServerChanged
import lavendertrail.serving.ServingConfig
import lavendertrail.standins.freePorts
import lavendertrail.turns.TurnHosts
import lavendertrail.turns.TurnHostsFixture
import java.io.IOException
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * Entry hosts and turn hosts before a server whose streams have [EVENTS] events. Each run says something else, so that a turn that is
 * kept without one of its parts, or with a part of another run, is seen in the body of the next turn.
 */
internal class ResumeFixture(
    private val config: ServingConfig = statefulConfig(),
    serverCount: Int = 1,
    turnHostNames: List<String> = listOf("a1", "b1", "c1"),
) : AutoCloseable {
    val turnHosts = TurnHostsFixture()
    private val entryHosts = mutableListOf<EntryHost>()

    /** The last event that the server sends for an attempt before it closes the connection. */
    val breakAfter = ConcurrentHashMap<String, Int>()

    /** Attempts whose events come with pauses between them. */
    val slowAttempts: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** The response to an attempt in place of a stream. */
    val scripted = ConcurrentHashMap<String, String>()

    /** The text of an event in place of that of [dataOf]. */
    @Volatile
    var eventText: (attempt: String, event: Int) -> String = ::dataOf

    /** Lines before the id of each event. */
    @Volatile
    var firstLines = ""

    /** The body that a server got for each attempt. */
    val bodies = ConcurrentHashMap<String, String>()
    private val servers = (1..serverCount).map { ScriptedServer(::respond) }

    init {
        if (turnHostNames.isNotEmpty()) {
            turnHostNames.forEach { turnHosts.start(it, isFirstStart = true) }
            turnHosts.awaitHosts(*turnHostNames.toTypedArray())
        }
    }

    private fun respond(
        head: String,
        body: String,
    ): String {
        val attempt = head.header("X-Attempt").orEmpty()
        bodies[attempt] = body
        scripted[attempt]?.let { return it }
        val after = head.header("X-After")?.toInt() ?: 0
        // A retry of the entry host itself goes on to the end.
        val breakAfter = breakAfter.remove(attempt)
        val last = breakAfter ?: EVENTS
        val pause = if (attempt in slowAttempts) PAUSE_MARKER else ""
        val events = (after + 1..last).joinToString("") { chunk("${firstLines}id: $it\ndata: ${eventText(attempt, it)}\n\n") + pause }
        return streamHead(attempt) + events + if (breakAfter == null) END_OF_CHUNKS else CLOSE_MARKER
    }

    /** Starts an entry host that reads the list of turn hosts from the store, or has [listed] as the list. */
    fun entryHost(listed: TurnHosts = turnHosts.currentHosts()): EntryHost = EntryHost(listed).also { entryHosts += it }

    inner class EntryHost(
        listed: TurnHosts,
    ) {
        private val group = singleEventLoop()
        private val port = freePorts(1).single()
        private val settings =
            GatewaySettings("node$port", FailureDomain("a"), "127.0.0.1:$port", "127.0.0.1:0", relayAddress = null, graceMillis = 3_000)
        val gateway = Gateway(settings, wire, group, StructuredLog("node$port"), GatewayMetrics())

        init {
            gateway.start()
            gateway.updateTurnHosts(listed)
            gateway.submit(ConfigAccepted(config))
            servers.forEachIndexed { index, server ->
                val entry = BackendServer("s$index", "tools", server.address, FailureDomain("a"), slots = 100, isDraining = false)
                gateway.submit(ServerChanged(entry))
            }
        }

        /** Sends a turn and reads its answer to the end, or [readEvents] events, after which the connection is closed. */
        fun call(
            turn: Turn,
            readEvents: Int = Int.MAX_VALUE,
        ): Answer =
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = READ_TIMEOUT_MILLIS
                socket.getOutputStream().write(turn.toRequest().toByteArray())
                socket.getInputStream().readAnswer(readEvents)
            }

        fun stop() {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        }
    }

    override fun close() {
        entryHosts.forEach { it.stop() }
        servers.forEach { it.close() }
        turnHosts.close()
    }

    companion object {
        const val EVENTS = 6
        const val END_OF_CHUNKS = "0\r\n\r\n"
        private const val READ_TIMEOUT_MILLIS = 10_000
        private const val STOP_TIMEOUT_SECONDS = 5L

        fun dataOf(
            attempt: String,
            event: Int,
        ) = "$attempt says $event"

        fun streamHead(attempt: String) =
            "HTTP/1.1 200 OK\r\nX-Attempt: $attempt\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

        fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

        /** The lines that the next turn should bring to the server for [events] of [attempt]. */
        fun linesOf(
            attempt: String,
            events: IntRange,
        ) = events.joinToString("") { dataOf(attempt, it) + "\n" }

        /** Turns are kept, and their streams can be resumed. */
        fun statefulConfig(maxAttempts: Int = 1): ServingConfig =
            GatewayFixture.config.let { config ->
                config.copy(
                    routes =
                        config.routes.map {
                            it.copy(turnRetentionMillis = 60_000, timeoutMillis = 8_000, maxAttempts = maxAttempts)
                        },
                    limits = config.limits.copy(maxBodyBytes = 8_000_000),
                )
            }

        private val wire =
            GatewayProtocol(
                decodeRequest = { head ->
                    GatewayFixture.wire.decodeRequest(head)?.copy(
                        deadlineMillis = 8_000,
                        programId = head.headers()["X-Program"],
                        previousTurnId = head.headers()["X-Previous"],
                        maxOutputTokens = TURN_TOKENS,
                        tokenBudget = head.headers()["X-Budget"]?.toInt(),
                    )
                },
                serverHeaders = GatewayFixture.wire.serverHeaders,
                decodeResponseHead = GatewayFixture.wire.decodeResponseHead,
                rejection = GatewayFixture.wire.rejection,
                readinessPath = "/ready",
            )

        /** The most tokens that a turn may generate: [EVENTS] events of 4 tokens, as the service states. */
        const val TURN_TOKENS = 24
    }
}

/** A turn of a program, which may resume the stream that the attempt [resumes] began after the event [after]. */
internal data class Turn(
    val attempt: String,
    val program: String = "p",
    val input: String = "question\n",
    val previous: String? = null,
    val resumes: String? = null,
    val after: Int? = null,
    val path: String = "/resumable/a",
    val key: String? = null,
    val budget: Int? = null,
) {
    fun toRequest(): String {
        val headers =
            listOfNotNull(
                "Host: desk",
                "X-Attempt: $attempt",
                "X-Program: $program",
                previous?.let { "X-Previous: $it" },
                resumes?.let { "X-Resumes: $it" },
                after?.let { "X-After: $it" },
                key?.let { "X-Key: $it" },
                budget?.let { "X-Budget: $it" },
                "Content-Length: ${input.length}",
            )
        return "POST $path HTTP/1.1\r\n" + headers.joinToString("\r\n", postfix = "\r\n\r\n") + input
    }
}

/** What a caller got of a stream. */
internal data class Answer(
    val status: Int,
    val eventIds: List<Int>,
    val isWhole: Boolean,
)

private fun String.header(name: String): String? =
    lineSequence().firstOrNull { it.startsWith("$name: ", ignoreCase = true) }?.substringAfter(": ")?.trim()

/** Reads an answer event by event, until its end, that of the connection, or [maxEvents] events. */
private fun InputStream.readAnswer(maxEvents: Int): Answer {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) head.append(readByteOrNull()?.toChar() ?: return Answer(0, emptyList(), false))
    val status = head.split(' ')[1].toInt()
    if (!head.contains("chunked", ignoreCase = true)) return Answer(status, emptyList(), isWhole = status == 200)
    val body = StringBuilder()

    fun ids() =
        Regex("(?m)^id: (\\d+)$").findAll(body.toString().substringBeforeLast("\n\n", "")).map { it.groupValues[1].toInt() }.toList()
    while (ids().size < maxEvents) {
        val sizeLine = StringBuilder()
        while (!sizeLine.endsWith("\r\n")) sizeLine.append(readByteOrNull()?.toChar() ?: return Answer(status, ids(), false))
        val size = sizeLine.trim().toString().toInt(16)
        val bytes = readNBytes(size + 2)
        if (bytes.size < size + 2) return Answer(status, ids(), false)
        if (size == 0) return Answer(status, ids(), isWhole = true)
        body.append(String(bytes, 0, size))
    }
    return Answer(status, ids(), isWhole = false)
}

private fun InputStream.readByteOrNull(): Int? =
    try {
        read().takeIf { it >= 0 }
    } catch (_: IOException) {
        null
    }
