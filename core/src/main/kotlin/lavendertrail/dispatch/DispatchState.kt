package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import lavendertrail.model.CallId
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId

/** Queue, running attempts and what is known about backend servers. */
@ConsistentCopyVisibility
public data class DispatchState internal constructor(
    internal val core: DispatchCore,
) {
    public constructor() : this(DispatchCore())
}

/** The parts of [DispatchState]; its types are internal. */
internal data class DispatchCore(
    val sequence: Long = 0,
    val timerNumber: Long = 0,
    val calls: PersistentMap<CallId, CallEntry> = persistentHashMapOf(),
    val callsOf: PersistentMap<ProgramId, PersistentSet<CallId>> = persistentHashMapOf(),
    val queue: QueueIndex = QueueIndex(),
    val share: FairShare = FairShare(),
    val servers: PersistentMap<ServerId, ServerView> = persistentHashMapOf(),
    val hosts: HostList? = null,
    val routes: RouteTable = RouteTable(),
    val cache: CacheKnowledge = CacheKnowledge(),
    val poison: PoisonRegister = PoisonRegister(),
    val isolating: PersistentList<CallId> = persistentListOf(),
    val budget: RetryBudget = RetryBudget(),
    val accounts: AccountUse = AccountUse(),
    val pauses: PauseLearning = PauseLearning(),
    val timers: SortedTree<TimerKey, Timer> = SortedTree(),
    val scaling: ModelScaling = ModelScaling(),
    val sweep: PinSweep = PinSweep(),
    val hints: PersistentMap<CallId, CallHint> = persistentHashMapOf(),
    val lastServers: GenerationMap<ProgramId, ServerId> = GenerationMap(limit = 10_000),
    val placements: GenerationMap<ProgramId, List<PlacementNote>> = GenerationMap(limit = 2_000),
    val nextUpkeepMillis: Long = 0,
    val callMillis: PersistentMap<Target, Double> = persistentHashMapOf(),
)

/** The platform's list of hosts as last received. */
internal data class HostList(
    val live: Set<ServerId>,
    val leaving: Set<ServerId>,
) {
    fun takesWork(server: ServerId): Boolean = server in live && server !in leaving

    fun names(server: ServerId): Boolean = server in live || server in leaving
}
