package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import lavendertrail.model.CallId
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId

/** State of dispatch: the queue, the running attempts and the known state of the backend servers. */
@ConsistentCopyVisibility
public data class DispatchState internal constructor(
    internal val core: DispatchCore,
) {
    public constructor() : this(DispatchCore())
}

/** The content of [DispatchState], kept separate because its types are internal. */
internal data class DispatchCore(
    val sequence: Long = 0,
    val nextTimerNumber: Long = 0,
    val calls: PersistentMap<CallId, CallEntry> = persistentHashMapOf(),
    val callsByProgram: PersistentMap<ProgramId, PersistentSet<CallId>> = persistentHashMapOf(),
    val queue: QueueIndex = QueueIndex(),
    val fairShare: FairShare = FairShare(),
    val servers: PersistentMap<ServerId, ServerView> = persistentHashMapOf(),
    val hosts: HostList? = null,
    val routes: RouteTable = RouteTable(),
    val prefixCache: PrefixCacheIndex = PrefixCacheIndex(),
    val poison: PoisonRegister = PoisonRegister(),
    val isolatingCalls: PersistentList<CallId> = persistentListOf(),
    val retryBudget: RetryBudget = RetryBudget(),
    val accountUse: AccountUse = AccountUse(),
    val pauseStatistics: PauseStatistics = PauseStatistics(),
    val timers: SortedTree<TimerKey, Timer> = SortedTree(),
    val scaling: ModelScaling = ModelScaling(),
    val pinSweep: PinSweep = PinSweep(),
    val hints: PersistentMap<CallId, CallHint> = persistentHashMapOf(),
    val lastServers: GenerationMap<ProgramId, ServerId> = GenerationMap(limit = 10_000),
    val placements: GenerationMap<ProgramId, List<PlacementNote>> = GenerationMap(limit = 2_000),
    val nextMaintenanceMillis: Long = 0,
    val averageCallMillis: PersistentMap<Target, Double> = persistentHashMapOf(),
)

/** The last list of hosts received from the platform. */
internal data class HostList(
    val live: Set<ServerId>,
    val leaving: Set<ServerId>,
) {
    fun takesWork(server: ServerId): Boolean = server in live && server !in leaving

    fun contains(server: ServerId): Boolean = server in live || server in leaving
}
