package lavendertrail.turns

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards the hint where a session's prompt is cached: a wrong server costs the reading of the whole prompt. */
class RecentServersTest {
    private val servers = RecentServers()

    @Test
    fun `a session has its own last server and a new one that of the program's newest turn`() {
        assertNull(servers.of("a"))
        servers.add("a", "engine-1")
        servers.add("b", "engine-2")
        servers.add("a", "engine-3")
        assertEquals("engine-3", servers.of("a"))
        assertEquals("engine-2", servers.of("b"))
        assertEquals("engine-3", servers.of("new"))
    }

    @Test
    fun `sessions of a program that starts them without end are forgotten, the oldest first`() {
        repeat(1_000) { servers.add("s$it", "engine-$it") }
        assertEquals("engine-999", servers.of("s0"))
        assertEquals("engine-995", servers.of("s995"))
    }
}
