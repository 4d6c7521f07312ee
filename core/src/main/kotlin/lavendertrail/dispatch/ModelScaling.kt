package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.config.ServerRecord
import lavendertrail.model.ModelId
import lavendertrail.model.PartitionId
import lavendertrail.model.ServerId
import lavendertrail.reducer.LoadModel
import lavendertrail.reducer.ModelOrderEnded
import lavendertrail.reducer.NodeState

/** The order in flight and since when models are busy or idle. Loans are read from load reports, so a new controller knows them. */
internal data class ModelScaling(
    val controllerEpoch: Long? = null,
    val controllerSinceMillis: Long = 0,
    val busySinceMillis: PersistentMap<ModelId, Long> = persistentHashMapOf(),
    val idleSinceMillis: PersistentMap<ModelId, Long> = persistentHashMapOf(),
    val order: PendingOrder? = null,
    val pauseUntilMillis: Long = 0,
)

internal data class PendingOrder(
    val server: ServerId,
    val model: ModelId,
    val untilMillis: Long,
)

// A decision on weights must rest on a report not older than this.
private const val READ_BACK_MILLIS = 1_500L
private const val IDLE_PERCENT = 30

/** The epoch under which this node is its region's controller, which is the fencing token; null on other nodes. */
internal fun controllerEpoch(state: NodeState): Long? {
    val partition = state.membership.owned[PartitionId(0)] ?: return null
    return partition.epoch.takeIf { partition.isActive }
}

/** Loads a model on one more server when calls wait for it for long, and gives servers back when it is idle for long. */
internal fun DispatchWork.scaleModels() {
    val epoch = controllerEpoch(node)
    if (epoch != core.scaling.controllerEpoch) {
        core = core.copy(scaling = ModelScaling(controllerEpoch = epoch, controllerSinceMillis = nowMillis))
    }
    if (epoch == null) return
    core.scaling.order?.let { order ->
        if (nowMillis < order.untilMillis) return
        core = core.copy(scaling = core.scaling.copy(order = null))
    }
    core.routes.models().forEach { observe(it) }
    if (nowMillis < core.scaling.pauseUntilMillis) return
    val order = core.routes.models().firstNotNullOfOrNull { wantedMore(it) ?: wantedBack(it) } ?: return
    command(order.first, order.second, epoch)
}

private fun DispatchWork.observe(model: ModelId) {
    val loaded = loadedServers(model)
    val waiting = waitingFor(model, loaded)
    val running = loaded.sumOf { view(it.server).estimatedRunning(nowMillis, settings.staleLoadMillis) }
    val slots = loaded.sumOf { it.maxRunningCalls }
    val isBusy = waiting > settings.scaleUpWaitingCalls * loaded.size
    val isIdle = waiting == 0 && running * 100 < slots * IDLE_PERCENT
    val scaling = core.scaling
    core =
        core.copy(
            scaling =
                scaling.copy(
                    busySinceMillis = scaling.busySinceMillis.since(model, isBusy, nowMillis),
                    idleSinceMillis = scaling.idleSinceMillis.since(model, isIdle, nowMillis),
                ),
        )
}

private fun PersistentMap<ModelId, Long>.since(
    model: ModelId,
    holds: Boolean,
    nowMillis: Long,
): PersistentMap<ModelId, Long> =
    when {
        !holds -> remove(model)
        model in this -> this
        else -> put(model, nowMillis)
    }

private fun DispatchWork.usableServers(model: ModelId): List<ServerRecord> =
    core.routes.serversOf(Target.Model(model)).filter { takesWork(it.server) }

private fun DispatchWork.loadedServers(model: ModelId): List<ServerRecord> =
    usableServers(model).filter { isLoaded(view(it.server), model) }

private fun DispatchWork.waitingFor(
    model: ModelId,
    loaded: List<ServerRecord>,
): Int = core.queue.sizeOf(Target.Model(model)) + loaded.sumOf { view(it.server).load?.waitingCalls ?: 0 }

private fun DispatchWork.heldFor(
    sinceMillis: Long?,
    durationMillis: Long,
): Boolean = sinceMillis != null && nowMillis - sinceMillis >= durationMillis

/** The idlest server without [model] whose own models can spare it. */
private fun DispatchWork.wantedMore(model: ModelId): Pair<ServerId, ModelId>? {
    if (!heldFor(core.scaling.busySinceMillis[model], settings.scaleUpMillis)) return null
    return usableServers(model)
        .filter { !isLoaded(view(it.server), model) && maySpare(it) }
        .minByOrNull { view(it.server).estimatedRunning(nowMillis, settings.staleLoadMillis) }
        ?.let { it.server to model }
}

private fun DispatchWork.maySpare(record: ServerRecord): Boolean =
    view(record.server).load?.loadedModels.orEmpty().all { other ->
        val keep = maxOf(1, config.models[other]?.minServers ?: 0)
        other !in core.scaling.busySinceMillis && loadedServers(other).size > keep
    }

/** A server that runs [model] on loan, which its record doesn't name first, while the model has been idle for long. */
private fun DispatchWork.wantedBack(model: ModelId): Pair<ServerId, ModelId>? {
    if (!heldFor(core.scaling.idleSinceMillis[model], settings.scaleDownMillis)) return null
    val loaded = loadedServers(model)
    val keep = maxOf(1, config.models[model]?.minServers ?: 0)
    if (loaded.size <= keep) return null
    val lent =
        loaded.firstOrNull {
            val home = it.models.first()
            home != model && home !in view(it.server).load?.loadedModels.orEmpty() && view(it.server).load != null
        }
    return lent?.let { it.server to it.models.first() }
}

/**
 * Engines that ignore fencing tokens could still get a former controller's command: for those the first command waits
 * until that controller must have stopped, and the state is read before and after each command.
 */
private fun DispatchWork.command(
    server: ServerId,
    model: ModelId,
    epoch: Long,
) {
    val membership = node.settings.membership
    val settledMillis = core.scaling.controllerSinceMillis + membership.suspectAfterMillis + membership.probeTimeoutMillis
    if (config.servers[server]?.checksFencing != true) {
        if (nowMillis < settledMillis) return
        if (nowMillis - view(server).loadAtMillis > READ_BACK_MILLIS) return poll(server, READ_BACK_MILLIS / 2)
    }
    effects += LoadModel(server, model, epoch)
    core = core.copy(scaling = core.scaling.copy(order = PendingOrder(server, model, nowMillis + settings.modelOrderMillis)))
}

internal fun DispatchWork.orderEnded(event: ModelOrderEnded) {
    val order = core.scaling.order
    if (order?.server == event.server && order.model == event.model) {
        val pauseMillis = nowMillis + settings.scaleUpMillis
        core = core.copy(scaling = core.scaling.copy(order = null, pauseUntilMillis = pauseMillis, busySinceMillis = persistentHashMapOf()))
    }
    poll(event.server, 0)
}
