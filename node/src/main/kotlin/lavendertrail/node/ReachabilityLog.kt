package lavendertrail.node

import lavendertrail.model.ServerId
import lavendertrail.reducer.Event
import lavendertrail.reducer.ServerReachability
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap

/** Reports [ServerReachability] when it or the server's incarnation changes, so that each poll isn't an event. */
internal class ReachabilityLog(
    private val emit: (Event) -> Unit,
) {
    private data class Seen(
        val reachable: Boolean,
        val incarnation: String?,
    )

    private val seen = ConcurrentHashMap<ServerId, Seen>()

    /** With [always] the event is raised without a change too: it is what an effect ends in. */
    fun report(
        server: ServerId,
        reachable: Boolean,
        incarnation: String? = null,
        always: Boolean = false,
    ) {
        var changed = false
        seen.compute(server) { _, before ->
            val now = Seen(reachable, incarnation ?: before?.incarnation)
            changed = if (before == null) !reachable || incarnation != null else before != now
            now
        }
        if (changed) Logger.info("engine: $server is ${if (reachable) "reachable" else "not reachable"}")
        if (changed || always) emit(ServerReachability(server, reachable, incarnation))
    }
}
