package lavendertrail.turns

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.netty.channel.EventLoopGroup
import lavendertrail.gateway.StoreMirror
import lavendertrail.gateway.StructuredLog
import lavendertrail.gateway.singleEventLoop
import lavendertrail.model.FailureDomain
import lavendertrail.serving.HistoryResult
import lavendertrail.serving.ReservationResult
import lavendertrail.serving.TurnHost
import lavendertrail.serving.rankTurnHosts
import lavendertrail.standins.KeyValueStandin
import lavendertrail.standins.freePorts
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempDirectory

/** Turn hosts on loopback ports, a client of them, and a stand-in for the platform's store. */
internal class TurnHostsFixture(
    private val tolerance: Int = 1,
    private val storeWatchWaitMillis: Long = 20_000,
) : AutoCloseable {
    val service = KeyValueStandin()
    val clientGroup = singleEventLoop()
    private val running = mutableMapOf<String, RunningHost>()
    private val folders = mutableMapOf<String, Path>()
    private val retirementRequested = mutableSetOf<String>()
    val retired = mutableListOf<String>()
    val client = TurnClient(clientGroup, FailureDomain("a"), cacheBytes = 0, readCurrentHosts = ::readCurrentHosts) {}

    /** Reads the list from the store, as an entry host does that the store serves. */
    fun readCurrentHosts(onResult: (CurrentTurnHosts?) -> Unit) {
        onResult(readCurrentTurnHosts(TurnHostDirectory(service, StoreMirror())).get())
    }

    /** The list as an entry host reads it. */
    fun currentHosts() = TurnHosts(listedHosts(), tolerance, service.get(TurnHostDirectory.KEY).get()?.revision ?: 0)

    private class RunningHost(
        val store: TurnStore,
        val group: EventLoopGroup,
    )

    private val ports = mutableMapOf<String, Int>()

    /** Starts the host [name] at its address, with its earlier disk if it has one. */
    fun start(
        name: String,
        isFirstStart: Boolean = false,
    ) {
        val port = ports.getOrPut(name) { freePorts(1).single() }
        val folder = folders.getOrPut(name) { createTempDirectory("turns-$name") }
        val group = singleEventLoop()
        val settings =
            TurnStoreSettings(
                name,
                FailureDomain(name.take(1)),
                "127.0.0.1:$port",
                folder,
                isFirstStart,
                tolerance,
                0,
                storeWatchWaitMillis,
            )
        val requests =
            RetirementRequests({ name in retirementRequested }) { isDone ->
                if (isDone) retired += name
                Ok(Unit)
            }
        val store = TurnStore(settings, group, service, StructuredLog(name), requests)
        store.start()
        running[name] = RunningHost(store, group)
    }

    fun stop(name: String) {
        val runningHost = running.remove(name) ?: return
        runningHost.store.stop()
        runningHost.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    fun stopAndDiscardDisk(name: String) {
        stop(name)
        folders.remove(name)
    }

    /** Ends the host [name] as SIGKILL does, and leaves its disk. */
    fun kill(name: String) {
        val runningHost = running.remove(name) ?: return
        runningHost.store.close()
        runningHost.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    /** Ends the host [name] as SIGKILL does, and discards its disk. */
    fun killAndDiscardDisk(name: String) {
        kill(name)
        folders.remove(name)
    }

    fun requestRetirement(name: String) {
        retirementRequested += name
    }

    /** Waits until the list consists of [names] and passes it to the client. */
    fun awaitHosts(vararg names: String): List<TurnHost> {
        awaitCondition("hosts ${names.toList()}") { listedHosts().map { it.name }.sorted() == names.sorted() }
        val hosts = listedHosts()
        onClientLoop { client.updateHosts(currentHosts()) }
        return hosts
    }

    fun listedHosts(): List<TurnHost> =
        service
            .get(TurnHostDirectory.KEY)
            .get()
            ?.let { TurnHostDirectory.decode(it.value) }
            .orEmpty()

    /** The hosts that have left with copies that aren't replaced yet. */
    fun departedHosts(): List<DepartedHost> =
        TurnHostDirectory(service, StoreMirror())
            .readDeparted()
            .get()
            ?.hosts
            .orEmpty()

    /** The host that paces the requests to [serverId]. */
    fun pacingHost(serverId: String): String = rankTurnHosts(serverId, listedHosts()).first().name

    fun save(
        id: String,
        previous: String? = null,
        by: TurnClient = client,
        on: EventLoopGroup = clientGroup,
    ): Boolean {
        val result = CompletableFuture<Boolean>()
        val turn = TurnRecord(id, "p", previous, "in-$id".toByteArray(), "out-$id".toByteArray(), System.currentTimeMillis() + 60_000)
        on(on) { by.storeTurn(turn, CALL_TIMEOUT_MILLIS, onDone = result::complete) }
        return result.get(5, TimeUnit.SECONDS)
    }

    /** Stores [turn] with the [chain] that it continues, which is needed until [chainNeededUntilEpochMillis]. */
    fun save(
        turn: TurnRecord,
        chain: List<TurnRecord>,
        chainNeededUntilEpochMillis: Long,
    ): Boolean {
        val result = CompletableFuture<Boolean>()
        onClientLoop { client.storeTurn(turn, CALL_TIMEOUT_MILLIS, chain, chainNeededUntilEpochMillis, result::complete) }
        return result.get(5, TimeUnit.SECONDS)
    }

    fun load(
        id: String,
        by: TurnClient = client,
        on: EventLoopGroup = clientGroup,
    ): Pair<HistoryResult, List<String>> {
        val result = CompletableFuture<Pair<HistoryResult, List<String>>>()
        on(on) { by.loadChain(id, "p", CALL_TIMEOUT_MILLIS) { found, turns -> result.complete(found to turns.map { it.id }) } }
        return result.get(5, TimeUnit.SECONDS)
    }

    /** The number of running hosts that have the turn [id]. */
    fun copiesOf(id: String): Int = copiesOf(RecordKey(turnId = id))

    /** The number of running hosts that have the record with [key]. */
    fun copiesOf(key: RecordKey): Int =
        listedHosts().filter { it.name in running }.count { host ->
            val reply = CompletableFuture<Boolean>()
            val peer = TurnPeer(host.address, clientGroup)
            onClientLoop {
                peer.call(TurnMethods.missing, MissingRequest(listOf(key)), CALL_TIMEOUT_MILLIS) { result ->
                    reply.complete(result.fold({ it.indices.isEmpty() }, { false }))
                    peer.close()
                }
            }
            reply.get(5, TimeUnit.SECONDS)
        }

    fun reserve(
        attempt: String,
        tokens: Int,
        budget: Int,
        by: TurnClient = client,
        on: EventLoopGroup = clientGroup,
        program: String = "p",
        expiresAtEpochMillis: Long = System.currentTimeMillis() + 60_000,
    ): ReservationResult {
        val result = CompletableFuture<ReservationResult>()
        val use = UseRecord(program, attempt, tokens, isSettled = false, expiresAtEpochMillis)
        on(on) { by.reserve(use, budget, CALL_TIMEOUT_MILLIS) { outcome, _ -> result.complete(outcome) } }
        return result.get(5, TimeUnit.SECONDS)
    }

    fun settle(
        attempt: String,
        tokens: Int,
    ) {
        onClientLoop { client.settle(UseRecord("p", attempt, tokens, isSettled = true, System.currentTimeMillis() + 60_000)) }
    }

    private fun onClientLoop(task: () -> Unit) = on(clientGroup, task)

    fun <T> on(
        group: EventLoopGroup,
        task: () -> T,
    ): T = group.next().submit(task).get()

    override fun close() {
        running.keys.toList().forEach(::killAndDiscardDisk)
        onClientLoop { client.close() }
        clientGroup.shutdownGracefully()
        service.close()
    }

    companion object {
        private const val CALL_TIMEOUT_MILLIS = 1_500L

        fun awaitCondition(
            description: String,
            timeoutMillis: Long = 20_000,
            condition: () -> Boolean,
        ) {
            val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)
            while (!condition()) {
                check(System.nanoTime() < deadlineNanos) { "no $description within $timeoutMillis ms" }
                Thread.sleep(20)
            }
        }
    }
}
