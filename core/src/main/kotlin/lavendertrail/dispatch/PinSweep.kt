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
 * Schedule of the sweeps that list the pins of engines, and per server the programs that were unknown in its last report.
 *
 * Only the owner of a program's partition knows whether the program has ended, so each node releases only pins of its own
 * partitions. A node lists the pins of the engines that it sends calls to. The region's controller lists those of all
 * engines. So does a node that took over a partition, for [FULL_SWEEPS_AFTER_TAKEOVER] sweeps, because the former owner
 * used other engines. A pin is released when its program is unknown in two successive reports, so that a program that is
 * just being opened or replayed keeps its pin.
 */
internal data class PinSweep(
    val nextSweepMillis: Long = 0,
    val fullSweepsLeft: Int = 0,
    val unknownPrograms: PersistentMap<ServerId, Set<ProgramId>> = persistentHashMapOf(),
)

private const val FULL_SWEEPS_AFTER_TAKEOVER = 3

/** Whether this node owns the program's partition and the ownership is active. */
internal fun ownsPartitionOf(
    state: NodeState,
    program: ProgramId,
): Boolean {
    val partition = state.membership.owned[program.partition] ?: return false
    return partition.isActive && program.region == state.self.region
}

internal fun DispatchWork.sweepPins() {
    if (nowMillis < core.pinSweep.nextSweepMillis) return
    val sweep = core.pinSweep
    val all = sweep.fullSweepsLeft > 0 || controllerEpoch(node) != null
    val targets = core.routes.targets().filterIsInstance<Target.Model>()
    val servers =
        if (all) {
            targets.flatMapTo(LinkedHashSet()) { target -> core.routes.serversOf(target).map { it.server } }
        } else {
            targets.flatMapTo(LinkedHashSet()) { target -> candidatesOf(target).map { it.record.server } }
        }
    servers.filter { viewOf(it).reachable }.forEach { effects += ListPins(it) }
    core =
        core.copy(
            pinSweep =
                sweep.copy(
                    nextSweepMillis = nowMillis + settings.pinSweepMillis,
                    fullSweepsLeft = (sweep.fullSweepsLeft - 1).coerceAtLeast(0),
                ),
        )
}

internal fun DispatchWork.scheduleFullSweeps() {
    core = core.copy(pinSweep = core.pinSweep.copy(fullSweepsLeft = FULL_SWEEPS_AFTER_TAKEOVER))
}

internal fun DispatchWork.handlePinsReported(event: PinsReported) {
    val unknown = event.programs.filterTo(HashSet()) { ownsPartitionOf(node, it) && !isLive(it) }
    val before = core.pinSweep.unknownPrograms[event.server].orEmpty()
    for (program in unknown.filter { it in before }) {
        effects += ReleaseCache(event.server, program)
        core = core.copy(prefixCache = core.prefixCache.withoutProgramAt(event.server, program))
    }
    val firstSeen = unknown - before
    val byServer = core.pinSweep.unknownPrograms
    val unknownPrograms = if (firstSeen.isEmpty()) byServer.remove(event.server) else byServer.put(event.server, firstSeen)
    core = core.copy(pinSweep = core.pinSweep.copy(unknownPrograms = unknownPrograms))
}

private fun DispatchWork.isLive(program: ProgramId): Boolean {
    val known = node.programs.programs[program]
    return if (known != null) known.endedMillis == null else core.fairShare.programService(program) != null
}
