package lavendertrail.node

import com.github.michaelbull.result.fold
import lavendertrail.model.ServerId
import lavendertrail.ports.HostList
import lavendertrail.reducer.CacheEventsReceived
import lavendertrail.reducer.Event
import lavendertrail.reducer.HostListReceived
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Reads the platform's host list and the cache events of engines at fixed times. */
internal class Polls(
    private val hostList: HostList,
    private val backends: BackendPool,
    private val reachability: ReachabilityLog,
    private val background: BackgroundExecutor,
    private val emit: (Event) -> Unit,
) {
    private data class Position(
        val sequence: Long,
        val incarnation: String?,
    )

    private val positions = ConcurrentHashMap<ServerId, Position>()
    private var lastListing: HostListReceived? = null
    private var listFailed = false

    fun start(
        hostListMillis: Long,
        cacheEventMillis: Long,
    ) {
        background.every(hostListMillis, "host list") { readHostList() }
        background.every(cacheEventMillis, "cache events") {
            backends.recentEngines(RECENT_NANOS).forEach { server -> background.run("cache events of $server") { readCacheEvents(server) } }
        }
    }

    /** An unchanged list is no event. */
    internal fun readHostList() {
        hostList.read().fold(
            { listing ->
                val event = HostListReceived(listing.live.serverIds(), listing.leaving.serverIds())
                if (event != lastListing) emit(event)
                lastListing = event
                listFailed = false
            },
            { error ->
                if (!listFailed) Logger.warn("platform: $error")
                listFailed = true
            },
        )
    }

    internal fun readCacheEvents(server: ServerId) {
        val engine = backends.engine(server) ?: return
        val before = positions[server] ?: Position(0, null)
        engine.cacheEvents(before.sequence).fold(
            { batch ->
                val restarted = before.incarnation != null && before.incarnation != batch.incarnation
                reachability.report(server, reachable = true, incarnation = batch.incarnation)
                positions[server] = Position(if (restarted) 0 else batch.lastSequence, batch.incarnation)
                val gap = !restarted && batch.events.isNotEmpty() && batch.firstSequence > before.sequence + 1
                if (!restarted && (batch.events.isNotEmpty() || gap)) emit(CacheEventsReceived(server, batch.events, gap))
            },
            { reachability.report(server, reachable = false) },
        )
    }

    private companion object {
        /** Engines that this node hasn't used for longer hold nothing that its decisions depend on. */
        val RECENT_NANOS = TimeUnit.MINUTES.toNanos(2)
    }
}

private fun Set<String>.serverIds(): Set<ServerId> = mapTo(mutableSetOf()) { ServerId(it) }
