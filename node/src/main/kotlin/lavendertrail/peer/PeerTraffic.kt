package lavendertrail.peer

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAccumulator
import java.util.concurrent.atomic.LongAdder

/** Message bytes and calls of one method since the start; sizes are those of the encoded messages, without HTTP/2 headers. */
public data class MethodTraffic(
    public val calls: Long,
    public val failedCalls: Long,
    public val sentBytes: Long,
    public val receivedBytes: Long,
    public val totalNanos: Long,
    public val maxNanos: Long,
)

/** Counts messages between nodes per method. One instance may be shared by the server and all clients of a node. */
public class PeerTraffic {
    private val counters = ConcurrentHashMap<String, Counter>()

    public fun snapshot(): Map<String, MethodTraffic> = counters.mapValues { it.value.read() }.toSortedMap()

    internal fun counter(method: String): Counter = counters.computeIfAbsent(method) { Counter() }

    internal class Counter {
        private val calls = LongAdder()
        private val failedCalls = LongAdder()
        private val sentBytes = LongAdder()
        private val receivedBytes = LongAdder()
        private val totalNanos = LongAdder()
        private val maxNanos = LongAccumulator(Math::max, 0)

        fun sent(bytes: Int) = sentBytes.add(bytes.toLong())

        fun received(bytes: Int) = receivedBytes.add(bytes.toLong())

        /** Runs [call] and counts it with its duration, also when it fails. */
        fun <T> timed(call: () -> T): T {
            val start = System.nanoTime()
            var done = false
            try {
                return call().also { done = true }
            } finally {
                val nanos = System.nanoTime() - start
                calls.increment()
                if (!done) failedCalls.increment()
                totalNanos.add(nanos)
                maxNanos.accumulate(nanos)
            }
        }

        fun read() =
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
