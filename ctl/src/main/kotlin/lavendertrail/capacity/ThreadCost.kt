package lavendertrail.capacity

import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory

/** Processor time and allocated bytes of the current thread while a block ran. */
internal data class ThreadCost(
    val cpuNanos: Long,
    val allocatedBytes: Long,
)

private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

internal fun measureThread(block: () -> Unit): ThreadCost {
    val thread = Thread.currentThread().id
    val cpuBefore = threads.getThreadCpuTime(thread)
    val bytesBefore = threads.getThreadAllocatedBytes(thread)
    block()
    return ThreadCost(threads.getThreadCpuTime(thread) - cpuBefore, threads.getThreadAllocatedBytes(thread) - bytesBefore)
}

/** Live heap after collection. Three collections settle what finalizers and weak references still hold. */
internal fun liveHeapBytes(): Long {
    repeat(3) {
        System.gc()
        Thread.sleep(GC_SETTLE_MILLIS)
    }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

private const val GC_SETTLE_MILLIS = 30L
