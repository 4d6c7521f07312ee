package lavendertrail.gateway

import java.util.concurrent.CompletableFuture
import kotlin.concurrent.thread

/** A [call] that may take long and runs on a thread of its own, once at a time, while its owner goes on. Not thread-safe. */
internal class BackgroundCall<T : Any>(
    private val threadName: String,
    private val call: () -> T,
) {
    private var running: CompletableFuture<T>? = null

    /** Returns the result of the last call if it has ended since it was started; otherwise makes sure that one runs, and returns null. */
    fun takeOrStart(): T? {
        val current = running ?: return null.also { running = start() }
        if (!current.isDone) return null
        running = null
        return current.join()
    }

    private fun start(): CompletableFuture<T> {
        val result = CompletableFuture<T>()
        thread(name = threadName, isDaemon = true) {
            try {
                result.complete(call())
            } catch (e: Throwable) {
                result.completeExceptionally(e)
            }
        }
        return result
    }
}
