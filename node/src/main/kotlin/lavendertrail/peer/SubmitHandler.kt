package lavendertrail.peer

import io.grpc.Status
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import java.util.concurrent.ExecutorService
import java.util.concurrent.Future
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val IDLE_THREAD_SECONDS = 30L

/** A pool of at most [threads] threads with an unbounded queue. Idle threads terminate. */
internal fun boundedPool(
    name: String,
    threads: Int,
): ExecutorService =
    ThreadPoolExecutor(threads, threads, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue(), namedThreadFactory(name))
        .apply { allowCoreThreadTimeOut(true) }

/** A pool of at most [threads] threads without a queue. More tasks are rejected, since a stream may hold its thread for minutes. */
internal fun streamPool(
    name: String,
    threads: Int,
): ExecutorService = ThreadPoolExecutor(0, threads, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, SynchronousQueue(), namedThreadFactory(name))

internal fun namedThreadFactory(name: String): (Runnable) -> Thread = { Thread(it, name).apply { isDaemon = true } }

/**
 * Runs `submit` on a thread of [submits]. The thread that delivers gRPC's callbacks must not block, or readiness and
 * cancellation of the stream would go unnoticed. The thread is interrupted when the client cancels the stream.
 */
internal fun submitHandler(
    service: PeerService,
    submits: ExecutorService,
) = ServerCalls.asyncServerStreamingCall { request: SubmitRequest, observer: StreamObserver<SubmitReply> ->
    val stream = ReplyStream(observer as ServerCallStreamObserver<SubmitReply>)
    try {
        stream.runOn(submits) { service.submit(request, stream::send) }
    } catch (_: RejectedExecutionException) {
        observer.onError(
            Status.RESOURCE_EXHAUSTED.withDescription("this node has reached its limit of submit streams").asRuntimeException(),
        )
    }
}

/** Sends replies one at a time and blocks while the receiver is not ready. */
private class ReplyStream(
    private val observer: ServerCallStreamObserver<SubmitReply>,
) {
    private val lock = ReentrantLock()
    private val stateChanged = lock.newCondition()
    private var task: Future<*>? = null

    init {
        observer.setOnReadyHandler { signalStateChange() }
        observer.setOnCancelHandler {
            signalStateChange()
            lock.withLock { task }?.cancel(true)
        }
    }

    fun runOn(
        executor: ExecutorService,
        work: () -> Unit,
    ) {
        val started = executor.submit { runToCompletion(work) }
        lock.withLock { task = started }
        if (observer.isCancelled) started.cancel(true)
    }

    fun send(reply: SubmitReply) {
        lock.withLock {
            while (!observer.isReady && !observer.isCancelled) stateChanged.await()
            if (observer.isCancelled) throw Status.CANCELLED.withDescription("the calling node cancelled the stream").asRuntimeException()
            observer.onNext(reply)
        }
    }

    private fun runToCompletion(work: () -> Unit) {
        try {
            work()
            if (!observer.isCancelled) observer.onCompleted()
        } catch (e: InterruptedException) {
            if (!observer.isCancelled) observer.onError(e.toStatus())
        } catch (e: Exception) {
            if (!observer.isCancelled) observer.onError(e.toStatus())
        }
    }

    private fun signalStateChange() = lock.withLock { stateChanged.signalAll() }
}
