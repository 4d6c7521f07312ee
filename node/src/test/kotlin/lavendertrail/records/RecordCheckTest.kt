package lavendertrail.records

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import lavendertrail.config.RecordKind
import lavendertrail.config.supportedSchemaVersions
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class RecordCheckTest {
    /** Guards against a supported schema version without a schema file, which would leave its records unchecked. */
    @Test
    fun `each supported version has a schema file`() {
        for (kind in RecordKind.entries) {
            for (version in supportedSchemaVersions(kind)) {
                assertNotNull(javaClass.getResource("/schemas/${kind.key}-v$version.json"), "schema of $kind version $version")
            }
        }
    }

    /** Guards against records that pass the check but fail at a node, and against messages that don't name the fault. */
    @Test
    fun `an invalid record is rejected with path, value and what is allowed`() {
        val cases =
            listOf(
                """{"schemaVersion":1,"owner":"o","region":"r","weight":0}""" to "$.weight is 0, allowed: must have a minimum value of 1",
                """{"schemaVersion":1,"owner":"o"}""" to
                    "$ is {\"schemaVersion\":1,\"owner\":\"o\"}, allowed: required property 'region' not found",
                """{"schemaVersion":7,"owner":"o","region":"r"}""" to "$.schemaVersion is 7, allowed: one of 1",
                """{"schemaVersion":1,"owner":"x","region":"r"}""" to "$.owner is \"x\", allowed: the record's name 'o'",
                """[1]""" to "$ is [1], allowed: a JSON object",
            )
        for ((json, expected) in cases) {
            assertEquals(expected, checkRecord("owner", "o", json).getError()?.joinToString { it.toString() }, json)
        }
    }

    /** Guards against a check that rejects comments, which settings and records may contain. */
    @Test
    fun `a correct record with a comment passes`() {
        assertEquals(Ok(Unit), checkRecord("owner", "o", """{"schemaVersion":1, /* half */ "owner":"o","region":"r","weight":2}"""))
    }
}
