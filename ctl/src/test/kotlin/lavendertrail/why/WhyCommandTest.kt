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

/** Guards the way from a failed request's id to its cause, with lines as the processes write them. */
class WhyCommandTest {
    private class Outcome(
        val code: Int,
        val out: List<String>,
        val err: String,
    )

    private fun why(
        id: String,
        vararg logs: String,
    ): Outcome {
        val files = logs.map { text -> Files.createTempFile("why", ".log").also { it.writeText(text.trimIndent()) }.toString() }
        val out = ByteArrayOutputStream()
        val err = ByteArrayOutputStream()
        val code = runCtl(listOf("why", id) + files, Console(out = PrintStream(out), err = PrintStream(err), environment = emptyMap()))
        return Outcome(code, out.toString().lines().filter { it.isNotEmpty() }, err.toString())
    }

    @Test
    fun `a turn refused by a host that was cut off shows the loss of the hosts with disks before it`() {
        val told =
            why(
                "d9e5199753f633eb",
                """
                {"time":"2026-10-12T06:05:01.481Z","node":"front-stgo-a-2","event":"turn hosts lost","hosts":3}
                   3.8550 front-stgo-a-2 {"time":"2026-10-12T06:05:03.855Z","node":"front-stgo-a-2","event":"request rejected","request":"d9e5199753f633eb","program":"b8ec","path":"/goxa130/1","sends":0,"reason":"budget_uncertain","notRun":true,"retryAfterMillis":200,"detail":"","millis":0}
                {"time":"2026-10-12T06:04:45.626Z","node":"front-stgo-a-2","event":"configuration read","version":4,"revision":6}
                {"time":"2026-10-12T06:04:46.000Z","node":"front-stgo-b-1","event":"configuration read","version":4,"revision":6}
                """,
            )
        assertEquals(0, told.code)
        assertEquals(
            listOf(
                "front-stgo-a-2 believed, way to turn hosts: turn hosts lost hosts=3, 2374 ms before",
                "front-stgo-a-2 believed, configuration: configuration read version=4 revision=6, 18229 ms before",
                "2026-10-12T06:05:03.855Z front-stgo-a-2 request rejected request=d9e5199753f633eb program=b8ec path=/goxa130/1 " +
                    "sends=0 reason=budget_uncertain notRun=true retryAfterMillis=200 millis=0",
            ).sorted(),
            told.out.sorted(),
        )
    }

    @Test
    fun `a call answered 502 shows the server that broke off`() {
        val told =
            why(
                "r1",
                """
                {"time":"2026-10-12T06:05:17.240Z","node":"front-1","event":"attempt failed","request":"r1","sends":1,"lastServer":"s1","server":"s1","outcome":"broken","detail":"connection closed by the server","afterMillis":31}
                {"time":"2026-10-12T06:05:17.241Z","node":"front-1","event":"request rejected","request":"r1","sends":1,"lastServer":"s1","reason":"server_failed","notRun":false,"detail":"connection closed by the server","millis":33}
                """,
            )
        assertEquals(3, told.out.size)
        assertEquals("front-1: the logs say nothing of what it believed before", told.out[0])
        assertTrue("outcome=broken detail=connection closed by the server" in told.out[1], told.out[1])
        assertTrue("reason=server_failed notRun=false" in told.out[2], told.out[2])
    }

    @Test
    fun `a program's tries through several hosts are told in the order of time`() {
        val told =
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
            told.out.drop(2).map { line ->
                line
                    .split(' ')
                    .drop(1)
                    .take(4)
                    .joinToString(" ")
            },
        )
    }

    @Test
    fun `an unknown id, torn lines and lines of other programs get a clear message`() {
        val told =
            why(
                "r404",
                """
                {"time":"2026-10-12T06:05:03.000Z","node":"front-2","event":"request answered","request":"r2"}
                {"time":"2026-10-12T06:05:03.000Z","node":"front-2","event":"request ans
                {"level":"info","msg":"another program"}
                no json at all
                """,
            )
        assertEquals(1, told.code)
        assertTrue("3 lines are torn or not lavendertrail's" in told.err, told.err)
        assertTrue("no line of 1 files names request or program 'r404'; logs reach from 2026-10-12T06:05:03Z" in told.err, told.err)
    }

    @Test
    fun `a missing file and a missing argument are named`() {
        assertEquals(1, runCtl(listOf("why", "r1", "/nowhere/x.log"), Console(err = PrintStream(ByteArrayOutputStream()))))
        assertEquals(2, runCtl(listOf("why"), Console(err = PrintStream(ByteArrayOutputStream()))))
    }
}
