package lavendertrail.capacity

import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory

/** Processor time and allocation of the current thread during a block. */
internal data class ThreadCost(
    val cpuNanos: Long,
    val allocatedBytes: Long,
)

private val threadBean = ManagementFactory.getThreadMXBean() as ThreadMXBean

internal fun measureThread(block: () -> Unit): ThreadCost {
    val thread = Thread.currentThread().id
    val cpuBefore = threadBean.getThreadCpuTime(thread)
    val bytesBefore = threadBean.getThreadAllocatedBytes(thread)
    block()
    return ThreadCost(threadBean.getThreadCpuTime(thread) - cpuBefore, threadBean.getThreadAllocatedBytes(thread) - bytesBefore)
}

/** Heap in use after garbage collection. Runs it three times to also free what finalizers and weak references held. */
internal fun liveHeapBytes(): Long {
    repeat(3) {
        System.gc()
        Thread.sleep(GC_WAIT_MILLIS)
    }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

private const val GC_WAIT_MILLIS = 30L
