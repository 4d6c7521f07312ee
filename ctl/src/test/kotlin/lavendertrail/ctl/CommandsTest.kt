package lavendertrail.ctl

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class CommandsTest {
    private val admin = FakeAdmin()

    /** Guards against an invalid command line that is reported as a system failure or prints the whole usage text. */
    @Test
    fun `usage errors give exit code 2 and one line`() {
        val lines =
            listOf(
                "",
                "nothing",
                "config",
                "config nothing",
                "config set budget",
                "config set budget desk",
                "config get --nothing",
                "config apply",
                "bill export --out x",
                "bill verify",
                "settle program",
                "settle program 1",
                "settle program one --outcome run",
                "settle program 1 --outcome maybe",
                "settle program -1 --outcome run",
                "explain",
                "top --count 0",
                "dump --node nowhere",
                "poison lift",
            )
        for (line in lines) {
            val result = admin.ctl(*line.split(' ').filter { it.isNotEmpty() }.toTypedArray())
            assertEquals(EXIT_USAGE, result.code, line)
            assertEquals(
                1,
                result.err
                    .trimEnd()
                    .lines()
                    .size,
                "$line: ${result.err}",
            )
            assertEquals("", result.out, line)
        }
        assertEquals(emptyList(), admin.requests)
    }

    /** Guards against a command without help, and against help that ends with an error code. */
    @Test
    fun `each command has help`() {
        val help = admin.ctl("--help")
        assertEquals(EXIT_OK, help.code)
        val names =
            help.out
                .lines()
                .drop(1)
                .filter { it.isNotBlank() }
                .map { it.take(20).trim() }
        assertEquals(21, names.size)
        // load and experiment use their own parsers, which exit the process on --help.
        for (name in names - setOf("load", "experiment")) {
            val result = admin.ctl(*(name.split(' ') + "--help").toTypedArray())
            assertEquals(EXIT_OK, result.code, name)
            assertContains(result.out, "lavendertrailctl $name")
        }
    }

    /** Guards against a settlement request that differs from what the operator entered. */
    @Test
    fun `settle sends outcome and usage`() {
        admin.answers["settle"] = Json.parseToJsonElement("{}")
        assertEquals(
            "batinah-001-a/3 settled as run\n",
            admin.ctl("settle", "batinah-001-a", "3", "--outcome", "run", "--cost-micros", "5").out,
        )
        assertEquals(
            "POST one:1/v1/admin/settle {\"program\":\"batinah-001-a\",\"position\":3,\"outcome\":\"run\"," +
                "\"usage\":{\"promptTokens\":0,\"generatedTokens\":0,\"toolCalls\":0,\"costMicros\":5}}",
            admin.requests.single(),
        )
    }

    /** Guards against lists that omit entries of other nodes, and against a poison mark that is lifted at only one node. */
    @Test
    fun `lists and lifts cover all nodes`() {
        admin.answers["poison"] = Json.parseToJsonElement("""[{"fingerprint":"f1","crashes":2,"crashedServers":[],"lastCrashMillis":0}]""")
        admin.answers["poison/f1/lift"] = Json.parseToJsonElement("{}")
        assertEquals("f1 crashes 2 last 1970-01-01T00:00:00Z known at one,two\n", admin.ctl("poison", "list").out)
        assertEquals("f1 lifted at one, two\n", admin.ctl("poison", "lift", "f1").out)
        assertEquals(EXIT_FAILED, admin.ctl("poison", "lift", "f2").code)
        admin.unreachable += "two:2"
        val dump = admin.ctl("dump", "--all")
        assertContains(dump.out, "\"error\"")
        assertEquals(EXIT_OK, dump.code)
    }

    @Test
    fun `a wrong token fails with the message of the node`() {
        val result = admin.ctl("dump", "--token-file", Files.createTempFile("token", "").toString())
        assertEquals(EXIT_FAILED, result.code)
        assertEquals("lavendertrailctl: node one:1 answered 401 to /v1/admin/dump: no operator has this token\n", result.err)
    }

    /** Guards against a report that is only printed, so that the reports of two runs can't be compared. */
    @Test
    fun `capacity writes Markdown and JSON`(
        @TempDir folder: Path,
    ) {
        val report = lavendertrail.capacity.CapacityReport("small", emptyList(), emptyList())
        CapacityCommand { report }.run(listOf("--out", "$folder"), Console())
        assertContains(Files.readString(folder.resolve("capacity.json")), "\"sizes\": \"small\"")
        assertContains(Files.readString(folder.resolve("capacity.md")), "| quantity |")
    }
}
