package lavendertrail.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import lavendertrail.membership.PartitionRecord
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.SwapAnswer
import lavendertrail.reducer.Event
import lavendertrail.reducer.PartitionSwapEnded
import lavendertrail.reducer.PartitionSwapFailed
import lavendertrail.reducer.SwapPartition
import lavendertrail.standins.KeyValueStandin
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against two owners of a partition, or the loss of a write that took effect, after a compare-and-swap without an answer. */
class ServiceRecordsTest {
    private enum class Fault { NONE, LOST_AFTER_WRITE, LOST_BEFORE_WRITE, READ_FAILS_TOO }

    private class FaultInjectingService(
        private val service: KeyValueService,
        private val fault: Fault,
    ) : KeyValueService by service {
        override fun swap(
            key: String,
            expectedRevision: Long,
            value: String,
            leaseId: Long?,
        ): Result<SwapAnswer, StepError> {
            if (fault == Fault.NONE) return service.swap(key, expectedRevision, value, leaseId)
            if (fault == Fault.LOST_AFTER_WRITE) service.swap(key, expectedRevision, value, leaseId)
            return Err(StepError("swap", "service", "answer lost"))
        }

        override fun get(key: String): Result<KeyValue?, StepError> =
            if (fault == Fault.READ_FAILS_TOO) Err(StepError("get", "service", "no answer")) else service.get(key)
    }

    private val partition = PartitionId(5)
    private val own = PartitionRecord(epoch = 2, ownerNode = NodeId("dev-1"), ownerIncarnation = 9, journalNodes = emptyList())
    private val other = own.copy(ownerNode = NodeId("dev-2"))

    private fun swap(
        fault: Fault,
        before: PartitionRecord?,
        expectedRevision: Long,
    ): Event {
        val service = KeyValueStandin()
        if (before != null) service.swap(ServiceKeys.partition(partition), 0, ServiceKeys.json.encodeToString(before))
        val events = LinkedBlockingQueue<Event>()
        BackgroundExecutor("test").use { background ->
            val records = ServiceRecords(FaultInjectingService(service, fault), background, events::add)
            records.swapPartition(SwapPartition(partition, expectedRevision, own))
            return checkNotNull(events.poll(5, TimeUnit.SECONDS)) { "the swap ended in no event" }
        }
    }

    private fun Event.summary(): String =
        when (this) {
            is PartitionSwapEnded -> "ended won=$won owner=${record?.ownerNode}"
            is PartitionSwapFailed -> "failed"
            else -> toString()
        }

    @Test
    fun `outcome of a swap with each fault`() {
        val table =
            listOf(
                Triple(Fault.NONE, null, "ended won=true owner=dev-1"),
                Triple(Fault.NONE, other, "ended won=false owner=dev-2"),
                Triple(Fault.NONE, own, "ended won=true owner=dev-1"),
                Triple(Fault.LOST_AFTER_WRITE, null, "ended won=true owner=dev-1"),
                Triple(Fault.LOST_AFTER_WRITE, other, "ended won=false owner=dev-2"),
                Triple(Fault.LOST_BEFORE_WRITE, null, "failed"),
                Triple(Fault.READ_FAILS_TOO, null, "failed"),
            )
        val actual = table.map { (fault, before, _) -> Triple(fault, before, swap(fault, before, expectedRevision = 0).summary()) }
        assertEquals(table, actual)
    }
}
