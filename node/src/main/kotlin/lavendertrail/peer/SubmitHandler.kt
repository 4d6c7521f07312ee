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

/** At most [threads] threads; further work waits. Idle threads end. */
internal fun boundedPool(
    name: String,
    threads: Int,
): ExecutorService =
    ThreadPoolExecutor(threads, threads, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue(), namedThreads(name))
        .apply { allowCoreThreadTimeOut(true) }

/** At most [threads] threads; further work is refused, since a stream may hold its thread for minutes. */
internal fun streamPool(
    name: String,
    threads: Int,
): ExecutorService = ThreadPoolExecutor(0, threads, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, SynchronousQueue(), namedThreads(name))

internal fun namedThreads(name: String): (Runnable) -> Thread = { Thread(it, name).apply { isDaemon = true } }

/**
 * Runs `submit` on a thread of [submits]: the thread that delivers gRPC's own callbacks must stay free, or neither
 * readiness nor cancellation of the stream would be noticed. The thread is interrupted when the caller goes away.
 */
internal fun submitHandler(
    service: PeerService,
    submits: ExecutorService,
) = ServerCalls.asyncServerStreamingCall { request: SubmitRequest, observer: StreamObserver<SubmitReply> ->
    val stream = ReplyStream(observer as ServerCallStreamObserver<SubmitReply>)
    try {
        stream.runOn(submits) { service.submit(request, stream::send) }
    } catch (_: RejectedExecutionException) {
        observer.onError(Status.RESOURCE_EXHAUSTED.withDescription("too many streams at this node").asRuntimeException())
    }
}

/** Passes replies on one at a time and waits while the receiver is not ready for more. */
private class ReplyStream(
    private val observer: ServerCallStreamObserver<SubmitReply>,
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var running: Future<*>? = null

    init {
        observer.setOnReadyHandler { wake() }
        observer.setOnCancelHandler {
            wake()
            lock.withLock { running }?.cancel(true)
        }
    }

    fun runOn(
        executor: ExecutorService,
        work: () -> Unit,
    ) {
        val started = executor.submit { finish(work) }
        lock.withLock { running = started }
        if (observer.isCancelled) started.cancel(true)
    }

    fun send(reply: SubmitReply) {
        lock.withLock {
            while (!observer.isReady && !observer.isCancelled) changed.await()
            if (observer.isCancelled) throw Status.CANCELLED.withDescription("the calling node went away").asRuntimeException()
            observer.onNext(reply)
        }
    }

    private fun finish(work: () -> Unit) {
        try {
            work()
            if (!observer.isCancelled) observer.onCompleted()
        } catch (e: InterruptedException) {
            if (!observer.isCancelled) observer.onError(e.toStatus())
        } catch (e: Exception) {
            if (!observer.isCancelled) observer.onError(e.toStatus())
        }
    }

    private fun wake() = lock.withLock { changed.signalAll() }
}
