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

/** Polls the platform's host list and the cache events of engines at fixed intervals. */
internal class PlatformPoller(
    private val hostList: HostList,
    private val backends: BackendPool,
    private val reachability: ReachabilityReporter,
    private val background: BackgroundExecutor,
    private val emit: (Event) -> Unit,
) {
    private data class EventPosition(
        val sequence: Long,
        val incarnation: String?,
    )

    private val positions = ConcurrentHashMap<ServerId, EventPosition>()
    private var lastListing: HostListReceived? = null
    private var listFailed = false

    fun start(
        hostListMillis: Long,
        cacheEventMillis: Long,
    ) {
        background.scheduleWithFixedDelay(hostListMillis, "host list") { readHostList() }
        background.scheduleWithFixedDelay(cacheEventMillis, "cache events") {
            backends.recentEngines(RECENT_NANOS).forEach { server -> background.run("cache events of $server") { readCacheEvents(server) } }
        }
    }

    /** Emits an event only if the list has changed. */
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
        val previous = positions[server] ?: EventPosition(0, null)
        engine.cacheEvents(previous.sequence).fold(
            { batch ->
                val restarted = previous.incarnation != null && previous.incarnation != batch.incarnation
                reachability.report(server, reachable = true, incarnation = batch.incarnation)
                positions[server] = EventPosition(if (restarted) 0 else batch.lastSequence, batch.incarnation)
                val gap = !restarted && batch.events.isNotEmpty() && batch.firstSequence > previous.sequence + 1
                if (!restarted && (batch.events.isNotEmpty() || gap)) emit(CacheEventsReceived(server, batch.events, gap))
            },
            { reachability.report(server, reachable = false) },
        )
    }

    private companion object {
        /** Caches of engines that this node hasn't used for longer don't affect its decisions. */
        val RECENT_NANOS = TimeUnit.MINUTES.toNanos(2)
    }
}

private fun Set<String>.serverIds(): Set<ServerId> = mapTo(mutableSetOf()) { ServerId(it) }
