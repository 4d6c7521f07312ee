package lavendertrail.standins

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import lavendertrail.adapters.httpModelEngine
import lavendertrail.http.ChunkStream
import lavendertrail.model.ServerId
import lavendertrail.reducer.AttemptFailure
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests how the engine adapter handles responses that the stand-in never sends but other engines may. */
class EngineAnswersTest {
    private data class Case(
        val name: String,
        val failure: AttemptFailure,
        val response: () -> Response,
    )

    /** Guards against accepting a truncated answer as complete, and against reporting a call as not executed without evidence. */
    @Test
    fun `incomplete answers are failures`() {
        val text = "data: {\"choices\":[{\"delta\":{\"content\":\"abc \"}}]}\n\n"
        val usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\n"
        listOf(
            Case("end without an end marker", AttemptFailure.CONNECTION_LOST) { events(text + usage) },
            Case("no usage", AttemptFailure.ERROR) { events(text + "data: [DONE]\n\n") },
            Case("error event", AttemptFailure.ERROR) { events(text + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n") },
            Case("unreadable event", AttemptFailure.ERROR) { events("data: {no json\n\n") },
            Case("status 400", AttemptFailure.REJECTED) { Response(Status.BAD_REQUEST).body("bad prompt") },
            Case("status 500", AttemptFailure.ERROR) { Response(Status.INTERNAL_SERVER_ERROR) },
            Case("status 502", AttemptFailure.ERROR) { Response(Status.BAD_GATEWAY) },
            Case("status 503", AttemptFailure.BUSY) { Response(Status.SERVICE_UNAVAILABLE) },
            Case("cut connection", AttemptFailure.CONNECTION_LOST) { abortedResponse() },
        ).forEach { case ->
            withServer({ case.response() }) { address ->
                val error = httpModelEngine(ServerId("other"), address).generate(testRequest(TEST_MODEL, "x")) {}.getError()
                assertEquals(case.name to case.failure, case.name to error?.failure)
            }
        }
    }

    /** Guards against checking the deadline only when the next byte arrives. */
    @Test
    fun `a silent stream ends at the deadline of the call`() {
        withServer({ Response(Status.OK).body(Body(ChunkStream())) }) { address ->
            val request = testRequest(TEST_MODEL, "x").copy(deadlineMillis = System.currentTimeMillis() + 300, idleLimitMillis = 20_000)
            val start = System.nanoTime()
            assertEquals(AttemptFailure.DEADLINE, httpModelEngine(ServerId("e"), address).generate(request) {}.getError()?.failure)
            assertTrue((System.nanoTime() - start) / 1_000_000 in 250..1_500)
        }
    }

    /** Guards against buffering the text until the end of the answer. */
    @Test
    fun `text is passed on as it arrives`() {
        val stream = ChunkStream()
        withServer({ Response(Status.OK).body(Body(stream)) }) { address ->
            var pieces = 0
            stream.send("data: {\"choices\":[{\"delta\":{\"content\":\"0 \"}}]}\n\n")
            val done =
                httpModelEngine(ServerId("e"), address)
                    .generate(testRequest(TEST_MODEL, "x")) { text ->
                        assertEquals("$pieces ", text)
                        pieces++
                        if (pieces < 20) {
                            stream.send("data: {\"choices\":[{\"delta\":{\"content\":\"$pieces \"}}]}\n\n")
                        } else {
                            stream.send("data: {\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":20}}\n\ndata: [DONE]\n\n")
                            stream.end()
                        }
                    }.getOrElse { error(it) }
            assertEquals(20 to 20L, pieces to done.generatedTokens)
        }
    }

    private fun events(text: String): Response = Response(Status.OK).header("content-type", "text/event-stream").body(text)

    private fun withServer(
        handler: HttpHandler,
        action: (String) -> Unit,
    ) {
        StandinServer(LOOPBACK, handler).use { action(it.address) }
    }
}
