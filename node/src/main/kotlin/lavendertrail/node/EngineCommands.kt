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

/** Sends commands other than calls to model engines. After a failed command the server's load or reachability is reported. */
internal class EngineCommands(
    private val backends: BackendPool,
    private val weightStore: WeightStore,
    private val reachability: ReachabilityReporter,
    private val background: BackgroundExecutor,
    private val state: () -> NodeState,
    private val emit: (Event) -> Unit,
) {
    fun pollLoad(effect: PollLoad): Unit = background.run("load poll of ${effect.server}") { pollLoad(effect.server) }

    fun pinCache(effect: PinCache): Unit = sendCommand("pin", effect.server) { it.pin(effect.program, effect.pinMillis) }

    fun releaseCache(effect: ReleaseCache): Unit = sendCommand("release", effect.server) { it.release(effect.program) }

    fun listPins(effect: ListPins): Unit =
        sendCommand("list pins", effect.server) { engine ->
            val pins = engine.pins()
            pins.fold({ emit(PinsReported(effect.server, it)) }, {})
            pins
        }

    /**
     * Copies a program's cache and then runs [next], even if the copy failed: the target engine then computes the prompt.
     * After a failure the loads of both engines are polled, which shows which of them can be reached.
     */
    fun transferCache(
        effect: TransferCache,
        next: () -> Unit,
    ): Unit =
        background.run("transfer of the cache of ${effect.program}") {
            val ended = copyCache(effect)
            next()
            ended.onFailure { error ->
                Logger.warn("engine: $error")
                pollLoad(effect.from)
                pollLoad(effect.to)
            }
        }

    private fun copyCache(effect: TransferCache): Result<Unit, StepError> {
        val from = backends.engine(effect.from) ?: return Err(StepError("export cache", effect.from.value, "the server is not configured"))
        val to = backends.engine(effect.to) ?: return Err(StepError("import cache", effect.to.value, "the server is not configured"))
        return from.exportCache(effect.program).andThen { to.importCache(it) }
    }

    /** An engine that doesn't answer counts as one without the stream; the call's deadline still applies. */
    fun findStream(effect: FindStream): Unit =
        background.run("search of the stream of ${effect.call}") {
            val found =
                effect.servers.firstOrNull { server ->
                    backends.engine(server)?.hasStream(effect.call)?.fold({ it }, { false }) ?: false
                }
            emit(StreamFound(effect.call, found))
        }

    /** Reserves a download at the weight store and waits for its slot before the engine is told to load the model. */
    fun loadModel(effect: LoadModel): Unit =
        background.run("load of ${effect.model} at ${effect.server}") {
            val sizeBytes = state().config.models[effect.model]?.weightBytes ?: 0
            weightStore.reserveDownload(effect.model, sizeBytes).fold(
                { waitMillis -> background.schedule(waitMillis, "load of ${effect.model} at ${effect.server}") { sendLoad(effect) } },
                { emit(effect.toEndedEvent(done = false, it.toString())) },
            )
        }

    private fun sendLoad(effect: LoadModel) {
        val engine = backends.engine(effect.server)
        val ended =
            engine?.loadModel(effect.model, effect.fencingToken)?.fold(
                { effect.toEndedEvent(done = true, "loaded") },
                { effect.toEndedEvent(done = false, it.toString()) },
            ) ?: effect.toEndedEvent(done = false, "server '${effect.server}' is not configured")
        emit(ended)
    }

    private fun LoadModel.toEndedEvent(
        done: Boolean,
        message: String,
    ): Event = ModelOrderEnded(server, model, done, message)

    /** Retries a failed command once; if that fails too, a poll of the load shows whether the server can be reached. */
    private fun <T> sendCommand(
        step: String,
        server: ServerId,
        call: (ModelEngine) -> Result<T, StepError>,
    ): Unit =
        background.run("$step at $server") {
            val engine = backends.engine(server)
            if (engine != null && call(engine).isErr) {
                call(engine).onFailure { error ->
                    Logger.warn("engine: $error")
                    pollLoad(server)
                }
            }
        }

    private fun pollLoad(server: ServerId) {
        val load = backends.engine(server)?.load()
        if (load == null) {
            reachability.report(server, reachable = false)
        } else {
            load.fold(
                {
                    reachability.report(server, reachable = true)
                    emit(ServerLoadReported(server, it))
                },
                { reachability.report(server, reachable = false, evenIfUnchanged = true) },
            )
        }
    }
}
