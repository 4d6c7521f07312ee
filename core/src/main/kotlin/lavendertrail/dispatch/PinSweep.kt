package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId
import lavendertrail.reducer.ListPins
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PinsReported
import lavendertrail.reducer.ReleaseCache

/**
 * When engines are asked for their pins, and the programs that were unknown at the last answer.
 *
 * Only the owner of a program's partition knows whether the program is gone, so each node releases pins of its own
 * partitions only. A node asks the engines that it sends work to; the region's controller asks all, and so does a node
 * that took over a partition, for two sweeps, since its former owner used other engines. A pin is released when its
 * program is unknown in two sweeps, so that one that is just being opened or replayed keeps it.
 */
internal data class PinSweep(
    val nextMillis: Long = 0,
    val fullSweepsLeft: Int = 0,
    val unknown: PersistentMap<ServerId, Set<ProgramId>> = persistentHashMapOf(),
)

private const val FULL_SWEEPS_AFTER_TAKEOVER = 3

/** Whether this node decides for the program's partition. */
internal fun ownsPartitionOf(
    state: NodeState,
    program: ProgramId,
): Boolean {
    val partition = state.membership.owned[program.partition] ?: return false
    return partition.isActive && program.region == state.self.region
}

internal fun DispatchWork.sweepPins() {
    if (nowMillis < core.sweep.nextMillis) return
    val sweep = core.sweep
    val all = sweep.fullSweepsLeft > 0 || controllerEpoch(node) != null
    val targets = core.routes.targets().filterIsInstance<Target.Model>()
    val servers =
        if (all) {
            targets.flatMapTo(LinkedHashSet()) { target -> core.routes.serversOf(target).map { it.server } }
        } else {
            targets.flatMapTo(LinkedHashSet()) { target -> candidatesOf(target).map { it.record.server } }
        }
    servers.filter { view(it).reachable }.forEach { effects += ListPins(it) }
    core =
        core.copy(
            sweep =
                sweep.copy(
                    nextMillis = nowMillis + settings.pinSweepMillis,
                    fullSweepsLeft = (sweep.fullSweepsLeft - 1).coerceAtLeast(0),
                ),
        )
}

internal fun DispatchWork.sweepAfterTakeover() {
    core = core.copy(sweep = core.sweep.copy(fullSweepsLeft = FULL_SWEEPS_AFTER_TAKEOVER))
}

internal fun DispatchWork.pinsReported(event: PinsReported) {
    val gone = event.programs.filterTo(HashSet()) { ownsPartitionOf(node, it) && !isLive(it) }
    val before = core.sweep.unknown[event.server].orEmpty()
    for (program in gone.filter { it in before }) {
        effects += ReleaseCache(event.server, program)
        core = core.copy(cache = core.cache.dropped(event.server, program))
    }
    val left = gone - before
    val unknown = core.sweep.unknown
    core =
        core.copy(sweep = core.sweep.copy(unknown = if (left.isEmpty()) unknown.remove(event.server) else unknown.put(event.server, left)))
}

private fun DispatchWork.isLive(program: ProgramId): Boolean {
    val known = node.programs.programs[program]
    return if (known != null) known.endedMillis == null else core.share.ofProgram(program) != null
}
