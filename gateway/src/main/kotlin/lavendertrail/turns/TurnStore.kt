package lavendertrail.turns

import com.github.michaelbull.result.fold
import io.grpc.Server
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.json.put
import lavendertrail.gateway.StructuredLog
import lavendertrail.gateway.StoreWatcher
import lavendertrail.gateway.StoreMirror
import lavendertrail.gateway.socketAddress
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValueService
import lavendertrail.serving.TurnHost
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * The process of a host with a disk: keeps turns and budget use, copies what it lacks from the other hosts, and registers
 * itself in the platform's store.
 */
public class TurnStore(
    private val settings: TurnStoreSettings,
    private val group: EventLoopGroup,
    private val service: KeyValueService,
    private val log: StructuredLog,
    private val orders: RetirementRequests,
) {
    private val loop = group.next()
    private val self = TurnHost(settings.nodeName, settings.address, settings.failureDomain)
    private val keeper =
        TurnKeeper(settings.folder, loop, System::currentTimeMillis) { message ->
            log.event("disk failed") { put("error", message) }
        }
    private val mirror = StoreMirror()
    private val feed = StoreWatcher(service, log, mirror.listener())
    private val directory = TurnHostDirectory(service, mirror)
    private val copier = TurnCopier(self, keeper, group)
    private var server: Server? = null

    private var hasJoined = false

    @Volatile
    private var isStopping = false

    public fun start() {
        onLoop { keeper.open() }
        if (settings.isFirstStart && !keeper.isComplete) onLoop { keeper.markComplete() }
        log.event("disk opened") {
            put("turns", keeper.turnCount)
            put("programs", keeper.programCount)
            put("complete", keeper.isComplete)
        }
        server = startTurnServer(keeper, socketAddress(settings.address), group)
        loop.scheduleAtFixedRate({ keeper.sweep() }, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS)
        feed.start()
        thread(name = "turn-store", isDaemon = true) { maintain() }
    }

    /** Joins the other hosts, then keeps the registration alive and removes hosts that are gone for good. */
    private fun maintain() {
        val liveness = Liveness(service, mirror, directory, self, settings.diskTolerance, log)
        val retirement = Retirement(self, group, keeper, directory, { orders.isRequested(mirror) }, orders.report, log)
        while (!isStopping) {
            try {
                val isMember =
                    directory
                        .known()
                        ?.hosts
                        .orEmpty()
                        .any { it == self }
                if (!retirement.isRequested && (!isMember || !keeper.isComplete)) join()
                if (!retirement.isDone) liveness.renew()
                retirement.check()
            } catch (e: RuntimeException) {
                log.error("turn store maintenance failed", e)
            }
            Thread.sleep(RENEW_MILLIS)
        }
    }

    private fun join() {
        val listing = directory.read().fold({ it }, { return log.warn("turn host list unreadable", it) })
        val others = listing.hosts.filter { it.name != self.name }
        val isMember = listing.hosts.any { it.name == self.name }
        val isBehind = !isMember || !keeper.isComplete
        // At the first start of the whole system there is nothing to copy; a host that was removed since has missed something.
        if (isBehind && !(settings.isFirstStart && !hasJoined) && !copyFrom(others, isMember)) return
        if (!keeper.isComplete) onLoop { keeper.markComplete() }
        hasJoined = true
        if (self in listing.hosts) return
        directory.write(others + self, listing.revision).fold({ isWritten ->
            if (isWritten) log.event("joined turn hosts") { put("hosts", (others + self).joinToString(",") { it.name }) }
        }, { log.warn("joining turn hosts failed", it) })
    }

    private fun failedCopy(error: StepError): Boolean {
        log.warn("copying a turn host failed", error)
        return false
    }

    /**
     * Copies the records of [others]. Everything is on more hosts than may be lost at once, so a newcomer may miss that many
     * of them. The loss of a host's own disk is one of these losses.
     */
    private fun copyFrom(
        others: List<TurnHost>,
        isMember: Boolean,
    ): Boolean {
        val needed = neededSources(others.size, settings.diskTolerance, isMember)
        val copied = others.count { other -> copier.copy(other).fold({ true }, { failedCopy(it) }) }
        log.event("copied turn hosts") {
            put("copied", copied)
            put("needed", needed)
        }
        return copied >= needed
    }

    private fun onLoop(task: () -> Unit) {
        loop.submit(task).get()
    }

    /** Ends calls under way and writes what has been accepted. */
    public fun stop() {
        isStopping = true
        server?.shutdown()?.awaitTermination(STOP_MILLIS, TimeUnit.MILLISECONDS)
        keeper.close()
    }

    private companion object {
        const val SWEEP_MILLIS = 2_000L

        /** A third of the liveness lease. */
        const val RENEW_MILLIS = 1_000L
        const val STOP_MILLIS = 500L
    }
}

/** How many of [others] a host must copy before it holds all that it should. */
internal fun neededSources(
    others: Int,
    tolerance: Int,
    isMember: Boolean,
): Int = (others - if (isMember) tolerance - 1 else tolerance).coerceAtLeast(0)
