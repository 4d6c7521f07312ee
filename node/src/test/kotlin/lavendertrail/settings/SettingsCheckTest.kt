package lavendertrail.settings

import com.github.michaelbull.result.fold
import java.io.File
import java.net.ServerSocket
import kotlin.io.path.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SettingsCheckTest {
    private val valid = File("../examples/one-node.json").readText()

    private fun findProblems(text: String): List<String> = parseSettings(text).fold({ emptyList() }, { all -> all.map { it.toString() } })

    @Test
    fun `all examples are valid`() {
        val examples = checkNotNull(File("../examples").listFiles()).filter { it.extension == "json" }
        assertTrue(examples.size >= 3)
        examples.forEach { file -> assertEquals(emptyList(), readSettings(Path(file.path)).fold({ emptyList() }, { it }), file.name) }
    }

    @Test
    fun `each mistake gives one line that names key, value and what is allowed`() {
        val table =
            listOf(
                Triple(
                    "\"port\": 7300",
                    "\"prot\": 7300",
                    listOf("api.prot = 7300: unknown key", "api.port: is missing, must be in 0..65535"),
                ),
                Triple("\"port\": 7300", "\"port\": \"7300\"", listOf("api.port = \"7300\": must be a whole number, in 0..65535")),
                Triple("\"port\": 7300", "\"port\": 73000", listOf("api.port = 73000: must be in 0..65535")),
                Triple(
                    "\"port\": 7300",
                    "\"port\": 7300, \"readTimeoutMillis\": \"30s\"",
                    listOf("api.readTimeoutMillis = \"30s\": must be a whole number of milliseconds without a unit, in 100..3600000"),
                ),
                Triple(
                    "\"ip\": \"127.0.0.1\", \"port\": 7300",
                    "\"ip\": \"localhost\", \"port\": 7300",
                    listOf("api.ip = \"localhost\": must be an IP address such as 10.1.4.7, not a host name"),
                ),
                Triple(
                    "127.0.0.1:2379",
                    "service:2379",
                    listOf(
                        "platform.keyValueAddress = \"service:2379\": must be an IP address and port such as 10.1.4.7:2379, not a host name",
                    ),
                ),
                Triple(
                    "\"failureDomain\": \"trial-a\",",
                    "",
                    listOf("failureDomain: is missing, must be 1 to 41 of a-z, 0-9 and '-', such as sohar-1"),
                ),
                Triple(
                    "\"allowUnauthenticated\": true",
                    "\"allowUnauthenticated\": 1",
                    listOf("api.allowUnauthenticated = 1: must be true or false"),
                ),
                Triple(
                    "\"membership\": {",
                    "\"log\": { \"format\": \"xml\" }, \"membership\": {",
                    listOf("log.format = \"xml\": must be one of text, json"),
                ),
                Triple(
                    "\"membership\": {",
                    "\"membership\": 5, \"unused\": {",
                    listOf("membership = 5: must be an object with", "unused = {"),
                ),
                Triple(
                    "\"peer\": { \"ip\": \"127.0.0.1\"",
                    "\"peer\": { \"ip\": \"10.1.1.1\"",
                    listOf("peer.ip = 10.1.1.1: must be a loopback address unless peer.certificateFile is given"),
                ),
                Triple(
                    "\"membership\": {",
                    "\"timing\": { \"leaseRenewMillis\": 20000 }, \"membership\": {",
                    listOf("timing.leaseRenewMillis = 20000: must be at most half of leaseTtlMillis"),
                ),
                Triple(
                    "\"membership\": {",
                    "\"operators\": [{ \"name\": \"a\", \"tokenSha256\": \"secret\" }], \"membership\": {",
                    listOf("operators = a: tokenSha256 must be 64 hex digits, the SHA-256 of the token"),
                ),
                Triple("{\n  \"node\"", "[\n  \"node\"", listOf("file: is not JSON")),
            )
        table.forEach { (from, to, expected) ->
            assertTrue(from in valid, "the example has no '$from'")
            val actual = findProblems(valid.replaceFirst(from, to))
            assertEquals(expected.size, actual.size, "$to gives $actual")
            expected.zip(actual).forEach { (start, line) -> assertTrue(line.startsWith(start), "'$line' should start with '$start'") }
        }
    }

    @Test
    fun `a port in use and a missing file are reported`() {
        ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress()).use { taken ->
            val text = valid.replaceFirst("7300", "${taken.localPort}")
            val settings = parseSettings(text).fold({ it }, { error("unexpected problems: $it") })
            val missing = settings.copy(api = settings.api.copy(tlsKeystoreFile = "no-such-file", tlsPasswordFile = "no-such-file"))
            val keys = checkHost(missing).map { it.key }
            assertEquals(listOf("api.tlsKeystoreFile", "api.tlsPasswordFile", "api.port"), keys)
        }
    }
}
