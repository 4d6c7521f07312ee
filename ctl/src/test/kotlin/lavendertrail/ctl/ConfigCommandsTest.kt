package lavendertrail.ctl

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ConfigCommandsTest {
    private val admin = FakeAdmin()

    private fun budgetText(turns: Int) =
        """{"schemaVersion":1,"name":"desk","maxTokens":9,"maxCostMicros":9,"maxTurns":$turns,"maxWallMillis":9}"""

    private fun budget(turns: Int): JsonObject = Json.parseToJsonElement(budgetText(turns)).jsonObject

    private fun file(text: String): String =
        Files
            .writeString(Files.createTempFile("ctl", ".json"), text)
            .also {
                it.toFile().deleteOnExit()
            }.toString()

    private fun applyFile(vararg turns: Int) =
        turns.joinToString(",", "[", "]") {
            """{"kind":"budget","name":"desk","record":${budgetText(it)}}"""
        }

    /** Guards against overwriting another operator's change, and against a conflict error without the cause. */
    @Test
    fun `a write conflict names the other operator and the differences`() {
        admin.change("ana", "budget/desk", budget(1))
        admin.beforePut = {
            admin.beforePut = {}
            admin.change("rosa", "budget/desk", budget(2))
        }
        val conflict = admin.ctl("config", "set", "budget", "desk", budgetText(3))
        assertEquals(EXIT_FAILED, conflict.code)
        assertEquals(
            "lavendertrailctl: budget/desk was not changed: operator rosa at 1970-01-01T00:00:02Z came first, revision is 2, not 1; " +
                "yours -> theirs differs in: $.maxTurns: 3 -> 2\n",
            conflict.err,
        )
        assertEquals(2L to budget(2), admin.records["budget/desk"])
        assertEquals(EXIT_FAILED, admin.ctl("config", "set", "budget", "desk", budgetText(3), "--revision", "1").code)
        assertEquals(EXIT_OK, admin.ctl("config", "set", "budget", "desk", budgetText(3), "--revision", "2").code)
    }

    /** Guards against a file that is applied in part before its invalid record is found. */
    @Test
    fun `a file with one invalid record writes nothing`() {
        val refused = admin.ctl("config", "apply", "-f", file(applyFile(1, 0)))
        assertEquals(EXIT_FAILED, refused.code)
        assertContains(refused.err, "record 'budget/desk' is refused: $.maxTurns is 0, allowed:")
        assertEquals(emptyList(), admin.audit)
        assertEquals("budget/desk written, revision 1\n", admin.ctl("config", "apply", "-f", file(applyFile(1))).out)
        assertEquals("budget/desk unchanged, revision 1\n", admin.ctl("config", "apply", "-f", file(applyFile(1))).out)
    }

    /** Guards against a rollback to the wrong revision, and against a rollback that doesn't undo a creation or deletion. */
    @Test
    fun `rollback restores the content before the last change`() {
        admin.ctl("config", "set", "budget", "desk", budgetText(1))
        admin.ctl("config", "set", "budget", "desk", budgetText(2))
        assertContains(admin.ctl("config", "history", "budget", "desk").out, "me revision 1 -> 2\n  $.maxTurns: 1 -> 2")
        assertEquals("budget/desk brought back, revision 2 -> 3\n", admin.ctl("config", "rollback", "budget", "desk").out)
        assertEquals(budget(1), admin.records["budget/desk"]?.second)
        admin.ctl("config", "rollback", "budget", "desk", "--to", "2")
        assertEquals(budget(2), admin.records["budget/desk"]?.second)
        admin.ctl("config", "set", "budget", "new", budgetText(1).replace("desk", "new"))
        assertEquals("budget/new deleted, as before\n", admin.ctl("config", "rollback", "budget", "new").out)
        admin.ctl("config", "rollback", "budget", "new")
        assertEquals(listOf("budget/desk", "budget/new"), admin.records.keys.toList())
    }

    /** Guards against a status that reports a change as in force while a node lacks it or doesn't answer. */
    @Test
    fun `status tells whether the last change is in force everywhere`() {
        admin.change("ana", "budget/desk", budget(1))
        assertContains(admin.ctl("config", "status").out, "in force everywhere 5 ms after the change")
        admin.appliedRevision["two:2"] = 0
        assertEquals(EXIT_FAILED, admin.ctl("config", "status").code)
        admin.appliedRevision.clear()
        admin.unreachable += "two:2"
        val status = admin.ctl("config", "status")
        assertEquals(EXIT_FAILED, status.code)
        assertContains(status.out, "two no answer")
    }

    @Test
    fun `diff lists the values that differ`() {
        admin.change("ana", "budget/desk", budget(1))
        assertEquals("$.maxTurns: 1 -> 7\n", admin.ctl("config", "diff", "budget", "desk", "-f", file(budgetText(7))).out)
        assertEquals(EXIT_FAILED, admin.ctl("config", "diff", "budget", "desk", "-f", Path.of("missing.json").toString()).code)
    }
}
