package lavendertrail.why

import lavendertrail.ctl.Console
import lavendertrail.ctl.runCtl
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards the diagnosis of a failed request from its id, with log lines in the format that the processes write. */
class WhyCommandTest {
    private class Result(
        val code: Int,
        val out: List<String>,
        val err: String,
    )

    private fun why(
        id: String,
        vararg logs: String,
    ): Result {
        val files = logs.map { text -> Files.createTempFile("why", ".log").also { it.writeText(text.trimIndent()) }.toString() }
        val out = ByteArrayOutputStream()
        val err = ByteArrayOutputStream()
        val code = runCtl(listOf("why", id) + files, Console(out = PrintStream(out), err = PrintStream(err), environment = emptyMap()))
        return Result(code, out.toString().lines().filter { it.isNotEmpty() }, err.toString())
    }

    @Test
    fun `a turn refused by a partitioned host shows the earlier loss of the turn hosts`() {
        val result =
            why(
                "d9e5199753f633eb",
                """
                {"time":"2026-10-12T06:05:01.481Z","node":"front-stgo-a-2","event":"turn hosts lost","hosts":3}
                   3.8550 front-stgo-a-2 {"time":"2026-10-12T06:05:03.855Z","node":"front-stgo-a-2","event":"request rejected","request":"d9e5199753f633eb","program":"b8ec","path":"/goxa130/1","sends":0,"reason":"budget_uncertain","notRun":true,"retryAfterMillis":200,"detail":"","millis":0}
                {"time":"2026-10-12T06:04:45.626Z","node":"front-stgo-a-2","event":"configuration read","version":4,"revision":6}
                {"time":"2026-10-12T06:04:46.000Z","node":"front-stgo-b-1","event":"configuration read","version":4,"revision":6}
                """,
            )
        assertEquals(0, result.code)
        assertEquals(
            listOf(
                "front-stgo-a-2 believed, way to turn hosts: turn hosts lost hosts=3, 2374 ms before",
                "front-stgo-a-2 believed, configuration: configuration read version=4 revision=6, 18229 ms before",
                "2026-10-12T06:05:03.855Z front-stgo-a-2 request rejected request=d9e5199753f633eb program=b8ec path=/goxa130/1 " +
                    "sends=0 reason=budget_uncertain notRun=true retryAfterMillis=200 millis=0",
            ).sorted(),
            result.out.sorted(),
        )
    }

    @Test
    fun `a call answered 502 shows the server that closed the connection`() {
        val result =
            why(
                "r1",
                """
                {"time":"2026-10-12T06:05:17.240Z","node":"front-1","event":"attempt failed","request":"r1","sends":1,"lastServer":"s1","server":"s1","outcome":"broken","detail":"connection closed by the server","afterMillis":31}
                {"time":"2026-10-12T06:05:17.241Z","node":"front-1","event":"request rejected","request":"r1","sends":1,"lastServer":"s1","reason":"server_failed","notRun":false,"detail":"connection closed by the server","millis":33}
                """,
            )
        assertEquals(3, result.out.size)
        assertEquals("front-1: the logs say nothing of what it believed before", result.out[0])
        assertTrue("outcome=broken detail=connection closed by the server" in result.out[1], result.out[1])
        assertTrue("reason=server_failed notRun=false" in result.out[2], result.out[2])
    }

    @Test
    fun `the requests of a program through several hosts are listed in the order of time`() {
        val result =
            why(
                "p7",
                """
                {"time":"2026-10-12T06:05:03.000Z","node":"front-2","event":"request answered","request":"r2","program":"p7","status":200,"millis":240}
                {"time":"2026-10-12T06:05:03.100Z","node":"front-2","event":"request answered","request":"r9","program":"p8","status":200,"millis":240}
                """,
                """
                {"time":"2026-10-12T06:05:02.000Z","node":"front-1","event":"request rejected","request":"r1","program":"p7","reason":"turn_uncertain","notRun":true,"millis":1200}
                """,
            )
        assertEquals(
            listOf("front-1 request rejected request=r1", "front-2 request answered request=r2"),
            result.out.drop(2).map { line ->
                line
                    .split(' ')
                    .drop(1)
                    .take(4)
                    .joinToString(" ")
            },
        )
    }

    @Test
    fun `an unknown id, truncated lines and lines of other programs give a clear message`() {
        val result =
            why(
                "r404",
                """
                {"time":"2026-10-12T06:05:03.000Z","node":"front-2","event":"request answered","request":"r2"}
                {"time":"2026-10-12T06:05:03.000Z","node":"front-2","event":"request ans
                {"level":"info","msg":"another program"}
                no json at all
                """,
            )
        assertEquals(1, result.code)
        assertTrue("3 lines are torn or not lavendertrail's" in result.err, result.err)
        assertTrue("no line of 1 files names request or program 'r404'; logs reach from 2026-10-12T06:05:03Z" in result.err, result.err)
    }

    @Test
    fun `a missing file fails with exit code 1 and a missing argument with 2`() {
        assertEquals(1, runCtl(listOf("why", "r1", "/nowhere/x.log"), Console(err = PrintStream(ByteArrayOutputStream()))))
        assertEquals(2, runCtl(listOf("why"), Console(err = PrintStream(ByteArrayOutputStream()))))
    }
}
