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

/** A thread pool per peer node, so that calls to an unresponsive node delay only calls to that node. */
internal class NodeExecutors(
    private val name: String,
    private val threadsPerNode: Int,
) : AutoCloseable {
    private val executors = ConcurrentHashMap<NodeId, ExecutorService>()

    fun execute(
        node: NodeId,
        work: () -> Unit,
    ) {
        try {
            executor(node).execute(work)
        } catch (_: RejectedExecutionException) {
            // The replicator is closed; no append is acknowledged anymore.
        }
    }

    fun <T> submit(
        node: NodeId,
        work: () -> T,
    ): Future<T> = executor(node).submit(Callable { work() })

    override fun close(): Unit = executors.values.forEach { it.shutdownNow() }

    private fun executor(node: NodeId): ExecutorService =
        executors.computeIfAbsent(node) {
            val threads = { work: Runnable -> Thread(work, "$name-$node").apply { isDaemon = true } }
            ThreadPoolExecutor(threadsPerNode, threadsPerNode, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue(), threads)
                .apply { allowCoreThreadTimeOut(true) }
        }
}
