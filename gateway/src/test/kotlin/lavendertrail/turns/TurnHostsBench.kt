package lavendertrail.turns

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import io.netty.channel.EventLoopGroup
import lavendertrail.gateway.StructuredLog
import lavendertrail.gateway.singleEventLoop
import lavendertrail.model.FailureDomain
import lavendertrail.serving.HistoryResult
import lavendertrail.serving.ReservationResult
import lavendertrail.serving.TurnHost
import lavendertrail.standins.KeyValueStandin
import lavendertrail.standins.freePorts
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempDirectory

/** Hosts with disks on loopback ports, a client of them, and the platform's store as a stand-in. */
internal class TurnHostsBench(
    private val tolerance: Int = 1,
) : AutoCloseable {
    val service = KeyValueStandin()
    val clientGroup = singleEventLoop()
    private val running = mutableMapOf<String, Running>()
    private val folders = mutableMapOf<String, Path>()
    private val retiring = mutableSetOf<String>()
    val retired = mutableListOf<String>()
    val client = TurnClient(clientGroup, FailureDomain("a"), cacheBytes = 0) {}

    private class Running(
        val store: TurnStore,
        val group: EventLoopGroup,
    )

    private val ports = mutableMapOf<String, Int>()

    /** Starts the host [name] at its address, on the disk it had if there is one. */
    fun start(
        name: String,
        isFirstStart: Boolean = false,
    ) {
        val port = ports.getOrPut(name) { freePorts(1).single() }
        val folder = folders.getOrPut(name) { createTempDirectory("turns-$name") }
        val group = singleEventLoop()
        val settings = TurnStoreSettings(name, FailureDomain(name.take(1)), "127.0.0.1:$port", folder, isFirstStart, tolerance)
        val orders =
            RetirementRequests({ name in retiring }) { isDone ->
                if (isDone) retired += name
                Ok(Unit)
            }
        val store = TurnStore(settings, group, service, StructuredLog(name), orders)
        store.start()
        running[name] = Running(store, group)
    }

    fun stop(name: String) {
        val host = running.remove(name) ?: return
        host.store.stop()
        host.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    fun wipe(name: String) {
        stop(name)
        folders.remove(name)
    }

    fun retire(name: String) {
        retiring += name
    }

    /** Waits until the list names [names] and tells the client. */
    fun awaitHosts(vararg names: String): List<TurnHost> {
        awaitTrue("hosts ${names.toList()}") { listed().map { it.name }.sorted() == names.sorted() }
        val hosts = listed()
        onClient { client.update(TurnHosts(hosts, tolerance)) }
        return hosts
    }

    fun listed(): List<TurnHost> =
        service
            .get(TurnHostDirectory.KEY)
            .get()
            ?.let { TurnHostDirectory.decode(it.value) }
            .orEmpty()

    fun save(
        id: String,
        previous: String? = null,
        by: TurnClient = client,
        on: EventLoopGroup = clientGroup,
    ): Boolean {
        val result = CompletableFuture<Boolean>()
        val turn = TurnRecord(id, "p", previous, "in-$id".toByteArray(), "out-$id".toByteArray(), System.currentTimeMillis() + 60_000)
        on(on) { by.save(turn, LIMIT_MILLIS, result::complete) }
        return result.get(5, TimeUnit.SECONDS)
    }

    fun load(
        id: String,
        by: TurnClient = client,
        on: EventLoopGroup = clientGroup,
    ): Pair<HistoryResult, List<String>> {
        val result = CompletableFuture<Pair<HistoryResult, List<String>>>()
        on(on) { by.load(id, "p", LIMIT_MILLIS) { found, turns -> result.complete(found to turns.map { it.id }) } }
        return result.get(5, TimeUnit.SECONDS)
    }

    fun reserve(
        attempt: String,
        tokens: Int,
        budget: Int,
        by: TurnClient = client,
        on: EventLoopGroup = clientGroup,
    ): ReservationResult {
        val result = CompletableFuture<ReservationResult>()
        val use = UseRecord("p", attempt, tokens, isSettled = false, System.currentTimeMillis() + 60_000)
        on(on) { by.reserve(use, budget, LIMIT_MILLIS) { outcome, _ -> result.complete(outcome) } }
        return result.get(5, TimeUnit.SECONDS)
    }

    fun settle(
        attempt: String,
        tokens: Int,
    ) {
        onClient { client.settle(UseRecord("p", attempt, tokens, isSettled = true, System.currentTimeMillis() + 60_000)) }
    }

    private fun onClient(task: () -> Unit) = on(clientGroup, task)

    fun <T> on(
        group: EventLoopGroup,
        task: () -> T,
    ): T = group.next().submit(task).get()

    override fun close() {
        running.keys.toList().forEach(::stop)
        onClient { client.close() }
        clientGroup.shutdownGracefully()
        service.close()
    }

    companion object {
        private const val LIMIT_MILLIS = 1_500L

        fun awaitTrue(
            what: String,
            limitMillis: Long = 20_000,
            condition: () -> Boolean,
        ) {
            val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis)
            while (!condition()) {
                check(System.nanoTime() < end) { "no $what within $limitMillis ms" }
                Thread.sleep(20)
            }
        }
    }
}
