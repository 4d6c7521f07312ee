package lavendertrail.peer

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAccumulator
import java.util.concurrent.atomic.LongAdder

/** Calls and message bytes of one method since the start. Sizes are those of the encoded messages, without HTTP/2 headers. */
public data class MethodTraffic(
    public val calls: Long,
    public val failedCalls: Long,
    public val sentBytes: Long,
    public val receivedBytes: Long,
    public val totalNanos: Long,
    public val maxNanos: Long,
)

/** Counts calls and message bytes between nodes per method. The server and all clients of a node may share one instance. */
public class PeerTraffic {
    private val counters = ConcurrentHashMap<String, Counter>()

    public fun snapshot(): Map<String, MethodTraffic> = counters.mapValues { it.value.snapshot() }.toSortedMap()

    internal fun counter(method: String): Counter = counters.computeIfAbsent(method) { Counter() }

    internal class Counter {
        private val calls = LongAdder()
        private val failedCalls = LongAdder()
        private val sentBytes = LongAdder()
        private val receivedBytes = LongAdder()
        private val totalNanos = LongAdder()
        private val maxNanos = LongAccumulator(Math::max, 0)

        fun addSent(bytes: Int) = sentBytes.add(bytes.toLong())

        fun addReceived(bytes: Int) = receivedBytes.add(bytes.toLong())

        /** Runs [call] and records its duration and whether it failed. */
        fun <T> record(call: () -> T): T {
            val start = System.nanoTime()
            var succeeded = false
            try {
                return call().also { succeeded = true }
            } finally {
                val nanos = System.nanoTime() - start
                calls.increment()
                if (!succeeded) failedCalls.increment()
                totalNanos.add(nanos)
                maxNanos.accumulate(nanos)
            }
        }

        fun snapshot() =
            MethodTraffic(
                calls = calls.sum(),
                failedCalls = failedCalls.sum(),
                sentBytes = sentBytes.sum(),
                receivedBytes = receivedBytes.sum(),
                totalNanos = totalNanos.sum(),
                maxNanos = maxNanos.get(),
            )
    }
}
