package lavendertrail.turns

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against wrong hints to the server that has a session's prompt cached: another server has to process the whole prompt. */
class RecentServersTest {
    private val servers = RecentServers()

    @Test
    fun `a session gets its own last server and a new session that of the program's last turn`() {
        assertNull(servers.forSession("a"))
        servers.add("a", "engine-1")
        servers.add("b", "engine-2")
        servers.add("a", "engine-3")
        assertEquals("engine-3", servers.forSession("a"))
        assertEquals("engine-2", servers.forSession("b"))
        assertEquals("engine-3", servers.forSession("new"))
    }

    @Test
    fun `the oldest sessions of a program with many sessions are evicted first`() {
        repeat(1_000) { servers.add("s$it", "engine-$it") }
        assertEquals("engine-999", servers.forSession("s0"))
        assertEquals("engine-995", servers.forSession("s995"))
    }
}
