package lavendertrail.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import lavendertrail.model.ServerId
import lavendertrail.model.StepError
import lavendertrail.ports.ModelEngine
import lavendertrail.ports.WeightStore
import lavendertrail.reducer.Event
import lavendertrail.reducer.FindStream
import lavendertrail.reducer.ListPins
import lavendertrail.reducer.LoadModel
import lavendertrail.reducer.ModelOrderEnded
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PinCache
import lavendertrail.reducer.PinsReported
import lavendertrail.reducer.PollLoad
import lavendertrail.reducer.ReleaseCache
import lavendertrail.reducer.ServerLoadReported
import lavendertrail.reducer.StreamFound
import lavendertrail.reducer.TransferCache
import org.tinylog.kotlin.Logger

/** Commands to model engines beside calls. A failed command ends in a report about the server's load or reachability. */
internal class EngineCommands(
    private val backends: BackendPool,
    private val weightStore: WeightStore,
    private val reachability: ReachabilityLog,
    private val background: BackgroundExecutor,
    private val state: () -> NodeState,
    private val emit: (Event) -> Unit,
) {
    fun poll(effect: PollLoad): Unit = background.run("load poll of ${effect.server}") { poll(effect.server) }

    fun pin(effect: PinCache): Unit = command("pin", effect.server) { it.pin(effect.program, effect.pinMillis) }

    fun release(effect: ReleaseCache): Unit = command("release", effect.server) { it.release(effect.program) }

    fun listPins(effect: ListPins): Unit =
        command("list pins", effect.server) { engine ->
            val pins = engine.pins()
            pins.fold({ emit(PinsReported(effect.server, it)) }, {})
            pins
        }

    /**
     * Copies a program's cache and then runs [next], also where the copy failed: the prompt is computed then. After a
     * failure the load polls tell which of the two engines can be reached.
     */
    fun transfer(
        effect: TransferCache,
        next: () -> Unit,
    ): Unit =
        background.run("transfer of the cache of ${effect.program}") {
            val ended = copyCache(effect)
            next()
            ended.onFailure { error ->
                Logger.warn("engine: $error")
                poll(effect.from)
                poll(effect.to)
            }
        }

    private fun copyCache(effect: TransferCache): Result<Unit, StepError> {
        val from = backends.engine(effect.from) ?: return Err(StepError("export cache", effect.from.value, "no record names the server"))
        val to = backends.engine(effect.to) ?: return Err(StepError("import cache", effect.to.value, "no record names the server"))
        return from.exportCache(effect.program).andThen { to.importCache(it) }
    }

    /** An engine that can't be asked counts as one that doesn't have the stream; the call's deadline still holds. */
    fun find(effect: FindStream): Unit =
        background.run("search of the stream of ${effect.call}") {
            val found =
                effect.servers.firstOrNull { server ->
                    backends.engine(server)?.hasStream(effect.call)?.fold({ it }, { false }) ?: false
                }
            emit(StreamFound(effect.call, found))
        }

    /** Reserves a download at the weight store before the order, and waits for the slot. */
    fun order(effect: LoadModel): Unit =
        background.run("order of ${effect.model} at ${effect.server}") {
            val sizeBytes = state().config.models[effect.model]?.weightBytes ?: 0
            weightStore.reserveDownload(effect.model, sizeBytes).fold(
                { waitMillis -> background.after(waitMillis, "order of ${effect.model} at ${effect.server}") { load(effect) } },
                { emit(effect.ended(done = false, it.toString())) },
            )
        }

    private fun load(effect: LoadModel) {
        val engine = backends.engine(effect.server)
        val ended =
            engine?.loadModel(effect.model, effect.fencingToken)?.fold(
                { effect.ended(done = true, "loaded") },
                { effect.ended(done = false, it.toString()) },
            ) ?: effect.ended(done = false, "no record names server '${effect.server}'")
        emit(ended)
    }

    private fun LoadModel.ended(
        done: Boolean,
        message: String,
    ): Event = ModelOrderEnded(server, model, done, message)

    /** A failed command is tried once more; if that fails too, the load poll tells whether the server can be reached. */
    private fun <T> command(
        step: String,
        server: ServerId,
        call: (ModelEngine) -> Result<T, StepError>,
    ): Unit =
        background.run("$step at $server") {
            val engine = backends.engine(server)
            if (engine != null && call(engine).isErr) {
                call(engine).onFailure { error ->
                    Logger.warn("engine: $error")
                    poll(server)
                }
            }
        }

    private fun poll(server: ServerId) {
        val load = backends.engine(server)?.load()
        if (load == null) {
            reachability.report(server, reachable = false)
        } else {
            load.fold(
                {
                    reachability.report(server, reachable = true)
                    emit(ServerLoadReported(server, it))
                },
                { reachability.report(server, reachable = false, always = true) },
            )
        }
    }
}
