package lavendertrail.node

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Blocks the callers of [awaitOpen] while closed. Fault tests freeze a node with it, as a stopped process or a long garbage
 * collection would; it is open at all other times.
 */
internal class PauseGate {
    private val lock = ReentrantLock()
    private val opened = lock.newCondition()

    @Volatile
    private var closed = false

    fun close() {
        closed = true
    }

    fun open(): Unit =
        lock.withLock {
            closed = false
            opened.signalAll()
        }

    fun awaitOpen() {
        if (closed) lock.withLock { while (closed) opened.await() }
    }
}
