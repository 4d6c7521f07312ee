package lavendertrail.experiment

import lavendertrail.model.CallId
import lavendertrail.model.ProgramId
import lavendertrail.standins.ExecutedCall
import kotlin.test.Test
import kotlin.test.assertEquals

class WastedCacheTest {
    /** Guards against waste that is missed where a program changes its server, or counted for tokens that are new. */
    @Test
    fun `tokens that another server had held are wasted`() {
        val first = call("dev-001-a", 0, atMillis = 10, prompt = 100, cached = 0, generated = 20)
        val moved = call("dev-001-a", 1, atMillis = 20, prompt = 150, cached = 0, generated = 10)
        assertEquals(CacheFigures(250, 0, wastedTokens = 120), cacheFigures(listOf(listOf(first), listOf(moved)), emptyMap()))
    }

    /** Guards against waste where the cache was used. */
    @Test
    fun `tokens that were found in the cache are not wasted`() {
        val calls =
            listOf(
                call("dev-001-a", 0, atMillis = 10, prompt = 100, cached = 0, generated = 20),
                call("dev-001-a", 1, atMillis = 20, prompt = 150, cached = 120, generated = 10),
            )
        assertEquals(CacheFigures(250, 120, wastedTokens = 0), cacheFigures(listOf(calls), emptyMap()))
    }

    /** Guards against counting a shared start after the last program that used it has ended. */
    @Test
    fun `a shared start counts while a program with it is live`() {
        val ends = mapOf("dev-001-a" to 25L, "dev-001-b" to 40L, "dev-001-c" to 90L)
        val traces = ends.mapValues { ProgramTrace("k", 60, endedMillis = it.value) }
        val calls = listOf("dev-001-a" to 10L, "dev-001-b" to 20L, "dev-001-c" to 50L).map { (id, at) -> call(id, 0, at, 100, 0, 5) }
        assertEquals(60, cacheFigures(listOf(calls), traces).wastedTokens)
    }

    /** Guards against an attempt that was cut being taken for a cache. */
    @Test
    fun `an attempt that did not end has held nothing`() {
        val cut = call("dev-001-a", 0, atMillis = 10, prompt = 100, cached = 0, generated = 0).copy(ended = false)
        val again = call("dev-001-a", 0, atMillis = 20, prompt = 100, cached = 0, generated = 5)
        assertEquals(0, cacheFigures(listOf(listOf(cut), listOf(again)), emptyMap()).wastedTokens)
    }

    private fun call(
        program: String,
        position: Int,
        atMillis: Long,
        prompt: Long,
        cached: Long,
        generated: Long,
    ): ExecutedCall = ExecutedCall(CallId(ProgramId(program), position), 1, atMillis, prompt, cached, generated, ended = true)
}
