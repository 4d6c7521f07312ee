package lavendertrail.standins

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import lavendertrail.model.ToolId
import lavendertrail.ports.ToolRequest
import lavendertrail.ports.ToolService
import lavendertrail.ports.ToolStatus
import lavendertrail.reducer.AttemptFailure
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** The contract of every [ToolService], including how it reports faults of the underlying service. */
abstract class ToolServiceContract {
    protected abstract fun withService(
        settings: ToolSettings = ToolSettings(durationMillis = 20, restartMillis = 300),
        action: (ToolStandin, ToolService) -> Unit,
    )

    @Test
    fun `a call is executed once and its status is known`() =
        withService { standin, service ->
            assertNull(service.status("k/1 ä+%25&?").getOrElse { error(it) })
            assertEquals("fee-charge did {\"fee\":12}", service.call(request("k/1 ä+%25&?", "{\"fee\":12}")).get())
            assertEquals(ToolStatus(true, "fee-charge did {\"fee\":12}"), service.status("k/1 ä+%25&?").getOrElse { error(it) })
            assertEquals(listOf("k/1 ä+%25&?"), standin.executions.map { it.key })
        }

    /** Guards against a stand-in that hides duplicate executions by deduplicating. */
    @Test
    fun `a key that is sent twice is executed twice unless the service deduplicates`() {
        withService { standin, service ->
            repeat(2) { service.call(request("k1")) }
            assertEquals(setOf("k1"), standin.repeatedKeys)
        }
        withService(ToolSettings(durationMillis = 1, deduplicates = true)) { standin, service ->
            repeat(2) { assertEquals("fee-charge did {}", service.call(request("k1")).get()) }
            assertEquals(emptySet(), standin.repeatedKeys)
        }
    }

    private data class Case(
        val fault: ToolFault,
        val failure: AttemptFailure,
        val executions: Int,
    )

    /** Guards against reporting an executed call as rejected, and against sending any call twice. */
    @Test
    fun `each fault is reported as its failure kind`() {
        listOf(
            Case(ToolFault.HANG, AttemptFailure.DEADLINE, 0),
            Case(ToolFault.ERROR, AttemptFailure.ERROR, 1),
            Case(ToolFault.REJECT, AttemptFailure.REJECTED, 0),
            Case(ToolFault.BUSY, AttemptFailure.BUSY, 0),
            Case(ToolFault.LOST_ANSWER, AttemptFailure.CONNECTION_LOST, 1),
            Case(ToolFault.CRASH_AFTER_EXECUTION, AttemptFailure.CONNECTION_LOST, 1),
        ).forEach { case ->
            withService { standin, service ->
                standin.fault = case.fault
                standin.faultyCalls = 1
                val error = assertNotNull(service.call(request("k1", timeoutMillis = 300)).getError(), "${case.fault}")
                Thread.sleep(30)
                assertEquals(case, Case(case.fault, error.failure, standin.executions.size))
                assertTrue(error.error.step.isNotBlank() && error.error.peer.isNotBlank())
                Thread.sleep(400)
                assertNotNull(service.call(request("k2")).get(), "the next call after ${case.fault}")
            }
        }
    }

    /** Guards against failing a slow call before its deadline. */
    @Test
    fun `a slow call is answered within its timeout and fails after it`() =
        withService { standin, service ->
            standin.slowFactor = 20.0
            assertNotNull(service.call(request("k1", timeoutMillis = 2_000)).get())
            assertEquals(AttemptFailure.DEADLINE, service.call(request("k2", timeoutMillis = 150)).getError()?.failure)
            assertEquals(false, service.status("k2").getOrElse { error(it) }?.done)
            Thread.sleep(500)
            assertEquals(true, service.status("k2").getOrElse { error(it) }?.done)
        }

    protected fun request(
        key: String?,
        arguments: String = "{}",
        timeoutMillis: Long = 2_000,
    ): ToolRequest = ToolRequest(ToolId("fee-charge"), key, arguments, timeoutMillis)
}
