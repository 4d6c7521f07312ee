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

/**
 * State of the region's controller: the model order in progress, and since when models have been busy or idle. Which servers
 * run a model other than the first of their record is derived from load reports, so a new controller knows it too.
 */
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

// Maximum age of the load report on which an order to an engine without fencing checks may be based.
private const val MAX_LOAD_REPORT_AGE_MILLIS = 1_500L
private const val MAX_IDLE_UTILIZATION_PERCENT = 30

/** The epoch under which this node is the controller of its region, used as the fencing token; null on other nodes. */
internal fun controllerEpoch(state: NodeState): Long? {
    val partition = state.membership.owned[PartitionId(0)] ?: return null
    return partition.epoch.takeIf { partition.isActive }
}

/**
 * Loads a model on one more server when calls have been waiting for it for [DispatchSettings.scaleUpMillis]. When a model has
 * been idle for [DispatchSettings.scaleDownMillis], switches a server that runs it back to the first model of the server's record.
 */
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
    core.routes.models().forEach { trackUtilization(it) }
    if (nowMillis < core.scaling.pauseUntilMillis) return
    val order = core.routes.models().firstNotNullOfOrNull { serverToAdd(it) ?: serverToReturn(it) } ?: return
    orderModel(order.first, order.second, epoch)
}

private fun DispatchWork.trackUtilization(model: ModelId) {
    val loaded = loadedServers(model)
    val waiting = waitingFor(model, loaded)
    val running = loaded.sumOf { viewOf(it.server).estimatedRunning(nowMillis, settings.staleLoadMillis) }
    val slots = loaded.sumOf { it.maxRunningCalls }
    val isBusy = waiting > settings.scaleUpWaitingCalls * loaded.size
    val isIdle = waiting == 0 && running * 100 < slots * MAX_IDLE_UTILIZATION_PERCENT
    val scaling = core.scaling
    core =
        core.copy(
            scaling =
                scaling.copy(
                    busySinceMillis = scaling.busySinceMillis.withCondition(model, isBusy, nowMillis),
                    idleSinceMillis = scaling.idleSinceMillis.withCondition(model, isIdle, nowMillis),
                ),
        )
}

private fun PersistentMap<ModelId, Long>.withCondition(
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
    usableServers(model).filter { isLoaded(viewOf(it.server), model) }

private fun DispatchWork.waitingFor(
    model: ModelId,
    loaded: List<ServerRecord>,
): Int = core.queue.sizeOf(Target.Model(model)) + loaded.sumOf { viewOf(it.server).load?.waitingCalls ?: 0 }

private fun DispatchWork.hasLasted(
    sinceMillis: Long?,
    durationMillis: Long,
): Boolean = sinceMillis != null && nowMillis - sinceMillis >= durationMillis

/** The least loaded server that hasn't loaded [model] and that its loaded models can spare, while the model has been busy. */
private fun DispatchWork.serverToAdd(model: ModelId): Pair<ServerId, ModelId>? {
    if (!hasLasted(core.scaling.busySinceMillis[model], settings.scaleUpMillis)) return null
    return usableServers(model)
        .filter { !isLoaded(viewOf(it.server), model) && canSwitchModel(it) }
        .minByOrNull { viewOf(it.server).estimatedRunning(nowMillis, settings.staleLoadMillis) }
        ?.let { it.server to model }
}

private fun DispatchWork.canSwitchModel(record: ServerRecord): Boolean =
    viewOf(record.server).load?.loadedModels.orEmpty().all { other ->
        val minServers = maxOf(1, config.models[other]?.minServers ?: 0)
        other !in core.scaling.busySinceMillis && loadedServers(other).size > minServers
    }

/** A server that runs [model] although its record names another model first, with that first model, while [model] has been idle. */
private fun DispatchWork.serverToReturn(model: ModelId): Pair<ServerId, ModelId>? {
    if (!hasLasted(core.scaling.idleSinceMillis[model], settings.scaleDownMillis)) return null
    val loaded = loadedServers(model)
    val minServers = maxOf(1, config.models[model]?.minServers ?: 0)
    if (loaded.size <= minServers) return null
    val switchedServer =
        loaded.firstOrNull {
            val firstModel = it.models.first()
            firstModel != model && firstModel !in viewOf(it.server).load?.loadedModels.orEmpty() && viewOf(it.server).load != null
        }
    return switchedServer?.let { it.server to it.models.first() }
}

/**
 * Orders a server to load the model. An engine that doesn't check fencing tokens would still accept an order of a former
 * controller. For such an engine the first order waits until the former controller must have stopped, a recent load report
 * is required before each order, and another one is requested afterwards.
 */
private fun DispatchWork.orderModel(
    server: ServerId,
    model: ModelId,
    epoch: Long,
) {
    val membership = node.settings.membership
    val formerControllerStoppedMillis = core.scaling.controllerSinceMillis + membership.suspectAfterMillis + membership.probeTimeoutMillis
    if (config.servers[server]?.checksFencing != true) {
        if (nowMillis < formerControllerStoppedMillis) return
        if (nowMillis - viewOf(server).loadReceivedMillis > MAX_LOAD_REPORT_AGE_MILLIS) {
            return pollLoad(server, MAX_LOAD_REPORT_AGE_MILLIS / 2)
        }
    }
    effects += LoadModel(server, model, epoch)
    core = core.copy(scaling = core.scaling.copy(order = PendingOrder(server, model, nowMillis + settings.modelOrderMillis)))
}

internal fun DispatchWork.handleModelOrderEnded(event: ModelOrderEnded) {
    val order = core.scaling.order
    if (order?.server == event.server && order.model == event.model) {
        val pauseUntilMillis = nowMillis + settings.scaleUpMillis
        val scaling = core.scaling.copy(order = null, pauseUntilMillis = pauseUntilMillis, busySinceMillis = persistentHashMapOf())
        core = core.copy(scaling = scaling)
    }
    pollLoad(event.server, 0)
}
