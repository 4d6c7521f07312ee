package lavendertrail.journal

import lavendertrail.model.NodeId
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.Future
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

private const val IDLE_THREAD_SECONDS = 10L

/** Threads per peer node, so that calls to a silent node hold up only calls to that node. */
internal class NodeLanes(
    private val name: String,
    private val threadsPerNode: Int,
) : AutoCloseable {
    private val lanes = ConcurrentHashMap<NodeId, ExecutorService>()

    fun run(
        node: NodeId,
        work: () -> Unit,
    ) {
        try {
            lane(node).execute(work)
        } catch (_: RejectedExecutionException) {
            // The replicator is closed; nothing is acknowledged any more.
        }
    }

    fun <T> submit(
        node: NodeId,
        work: () -> T,
    ): Future<T> = lane(node).submit(Callable { work() })

    override fun close(): Unit = lanes.values.forEach { it.shutdownNow() }

    private fun lane(node: NodeId): ExecutorService =
        lanes.computeIfAbsent(node) {
            val threads = { work: Runnable -> Thread(work, "$name-$node").apply { isDaemon = true } }
            ThreadPoolExecutor(threadsPerNode, threadsPerNode, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue(), threads)
                .apply { allowCoreThreadTimeOut(true) }
        }
}
