package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.model.CallId
import lavendertrail.model.ServerId
import lavendertrail.reducer.PoisonMark

/**
 * Crash counts of requests by fingerprint, and the servers on which each request is running.
 *
 * A crash counts against every request that was running on the server. A request with a count runs isolated from then on,
 * so that the next crash identifies a single request, and a harmless one is cleared when it completes. A mark with 0
 * crashes tells other nodes when the fingerprint was cleared; it overrides crashes that are not later.
 */
internal data class PoisonRegister(
    private val marks: PersistentMap<String, PoisonMark> = persistentHashMapOf(),
    private val clearedMillis: GenerationMap<String, Long> = GenerationMap(limit = 1_000),
    private val inFlight: PersistentMap<String, PersistentMap<ServerId, Int>> = persistentHashMapOf(),
    private val waiting: PersistentMap<String, List<CallId>> = persistentHashMapOf(),
) {
    fun crashCount(
        fingerprint: String,
        nowMillis: Long,
        expiryMillis: Long,
    ): Int = marks[fingerprint]?.takeIf { nowMillis - it.lastCrashMillis < expiryMillis }?.crashes ?: 0

    /** Number of servers other than [server] on which the request is running. */
    fun otherServersRunning(
        fingerprint: String,
        server: ServerId,
    ): Int {
        val servers = inFlight[fingerprint] ?: return 0
        return if (server in servers) servers.size - 1 else servers.size
    }

    fun isRunning(fingerprint: String): Boolean = fingerprint in inFlight

    fun markOf(fingerprint: String): PoisonMark? = marks[fingerprint]

    fun marks(
        nowMillis: Long,
        expiryMillis: Long,
    ): List<PoisonMark> = marks.values.filter { nowMillis - it.lastCrashMillis < expiryMillis }.sortedBy { it.fingerprint }

    fun withRunStarted(
        fingerprint: String,
        server: ServerId,
    ): PoisonRegister {
        val servers = inFlight[fingerprint] ?: persistentHashMapOf()
        return copy(inFlight = inFlight.put(fingerprint, servers.put(server, (servers[server] ?: 0) + 1)))
    }

    fun withRunEnded(
        fingerprint: String,
        server: ServerId,
    ): PoisonRegister {
        val servers = inFlight[fingerprint] ?: return this
        val remaining = (servers[server] ?: return this) - 1
        val next = if (remaining <= 0) servers.remove(server) else servers.put(server, remaining)
        return copy(inFlight = if (next.isEmpty()) inFlight.remove(fingerprint) else inFlight.put(fingerprint, next))
    }

    fun withCrash(
        fingerprint: String,
        server: ServerId,
        nowMillis: Long,
        expiryMillis: Long,
    ): PoisonRegister {
        val before = marks[fingerprint]?.takeIf { nowMillis - it.lastCrashMillis < expiryMillis }
        val mark = PoisonMark(fingerprint, (before?.crashes ?: 0) + 1, before?.crashedServers.orEmpty() + server, nowMillis)
        return copy(marks = marks.put(fingerprint, mark))
    }

    fun withCleared(
        fingerprint: String,
        atMillis: Long,
    ): PoisonRegister = copy(marks = marks.remove(fingerprint), clearedMillis = clearedMillis.put(fingerprint, atMillis))

    /** Merges a mark received from another node or read from its stored record. */
    fun withMark(mark: PoisonMark): PoisonRegister {
        val own = marks[mark.fingerprint]
        if (mark.crashes <= 0) {
            val hasLaterCrash = own != null && own.lastCrashMillis > mark.lastCrashMillis
            return if (hasLaterCrash) this else withCleared(mark.fingerprint, mark.lastCrashMillis)
        }
        if (mark.lastCrashMillis <= (clearedMillis[mark.fingerprint] ?: Long.MIN_VALUE)) return this
        if (own == null) return copy(marks = marks.put(mark.fingerprint, mark))
        val servers = own.crashedServers + mark.crashedServers
        val merged =
            PoisonMark(
                fingerprint = mark.fingerprint,
                crashes = maxOf(own.crashes, mark.crashes, servers.size),
                crashedServers = servers,
                lastCrashMillis = maxOf(own.lastCrashMillis, mark.lastCrashMillis),
            )
        return if (merged == own) this else copy(marks = marks.put(mark.fingerprint, merged))
    }

    fun withoutExpired(
        nowMillis: Long,
        expiryMillis: Long,
    ): PoisonRegister {
        val old = marks.values.filter { nowMillis - it.lastCrashMillis >= expiryMillis }
        return if (old.isEmpty()) this else copy(marks = old.fold(marks) { rest, mark -> rest.remove(mark.fingerprint) })
    }

    fun withWaiting(
        fingerprint: String,
        call: CallId,
    ): PoisonRegister = copy(waiting = waiting.put(fingerprint, waiting[fingerprint].orEmpty() + call))

    fun waitingFor(fingerprint: String): List<CallId> = waiting[fingerprint].orEmpty()

    fun withoutWaiting(fingerprint: String): PoisonRegister = copy(waiting = waiting.remove(fingerprint))

    fun withoutWaiting(
        fingerprint: String,
        call: CallId,
    ): PoisonRegister {
        val remaining = waiting[fingerprint].orEmpty() - call
        return copy(waiting = if (remaining.isEmpty()) waiting.remove(fingerprint) else waiting.put(fingerprint, remaining))
    }
}
