package lavendertrail.node

import lavendertrail.model.ServerId
import lavendertrail.reducer.Event
import lavendertrail.reducer.ServerReachability
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap

/** Emits [ServerReachability] when it or the server's incarnation changes, so that not every poll becomes an event. */
internal class ReachabilityReporter(
    private val emit: (Event) -> Unit,
) {
    private data class LastReport(
        val reachable: Boolean,
        val incarnation: String?,
    )

    private val lastReports = ConcurrentHashMap<ServerId, LastReport>()

    /** With [evenIfUnchanged] the event is emitted even if nothing changed, because an effect has to end in an event. */
    fun report(
        server: ServerId,
        reachable: Boolean,
        incarnation: String? = null,
        evenIfUnchanged: Boolean = false,
    ) {
        var changed = false
        lastReports.compute(server) { _, previous ->
            val current = LastReport(reachable, incarnation ?: previous?.incarnation)
            changed = if (previous == null) !reachable || incarnation != null else previous != current
            current
        }
        if (changed) Logger.info("engine: $server is ${if (reachable) "reachable" else "not reachable"}")
        if (changed || evenIfUnchanged) emit(ServerReachability(server, reachable, incarnation))
    }
}
