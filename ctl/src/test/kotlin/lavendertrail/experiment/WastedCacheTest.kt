package lavendertrail.experiment

import lavendertrail.model.CallId
import lavendertrail.model.ProgramId
import lavendertrail.standins.ExecutedCall
import kotlin.test.Test
import kotlin.test.assertEquals

class WastedCacheTest {
    /** Guards against missing the waste when a program moves to another server, and against counting new tokens as wasted. */
    @Test
    fun `tokens that another server had cached are wasted`() {
        val first = call("dev-001-a", 0, atMillis = 10, prompt = 100, cached = 0, generated = 20)
        val moved = call("dev-001-a", 1, atMillis = 20, prompt = 150, cached = 0, generated = 10)
        assertEquals(CacheStats(250, 0, wastedTokens = 120), cacheStats(listOf(listOf(first), listOf(moved)), emptyMap()))
    }

    /** Guards against counting cache hits as wasted. */
    @Test
    fun `tokens that were found in the cache are not wasted`() {
        val calls =
            listOf(
                call("dev-001-a", 0, atMillis = 10, prompt = 100, cached = 0, generated = 20),
                call("dev-001-a", 1, atMillis = 20, prompt = 150, cached = 120, generated = 10),
            )
        assertEquals(CacheStats(250, 120, wastedTokens = 0), cacheStats(listOf(calls), emptyMap()))
    }

    /** Guards against counting a shared prefix after the last program that used it has ended. */
    @Test
    fun `a shared prefix counts while a program with it is live`() {
        val ends = mapOf("dev-001-a" to 25L, "dev-001-b" to 40L, "dev-001-c" to 90L)
        val traces = ends.mapValues { ProgramCacheTrace("k", 60, endedMillis = it.value) }
        val calls = listOf("dev-001-a" to 10L, "dev-001-b" to 20L, "dev-001-c" to 50L).map { (id, at) -> call(id, 0, at, 100, 0, 5) }
        assertEquals(60, cacheStats(listOf(calls), traces).wastedTokens)
    }

    /** Guards against treating the prompt of an aborted attempt as cached. */
    @Test
    fun `an attempt that did not end has cached nothing`() {
        val aborted = call("dev-001-a", 0, atMillis = 10, prompt = 100, cached = 0, generated = 0).copy(ended = false)
        val retried = call("dev-001-a", 0, atMillis = 20, prompt = 100, cached = 0, generated = 5)
        assertEquals(0, cacheStats(listOf(listOf(aborted), listOf(retried)), emptyMap()).wastedTokens)
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
