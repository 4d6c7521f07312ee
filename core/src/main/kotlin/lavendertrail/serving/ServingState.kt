package lavendertrail.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import lavendertrail.model.FailureDomain

/** The state that the serving decisions of one process depend on. */
public class ServingState internal constructor(
    internal val parts: ServingParts,
) {
    public val configVersion: Long? get() = parts.config?.version
    public val config: ServingConfig? get() = parts.config

    /** Time since the platform's store last reported; null before the first report. */
    public fun storeSilenceMillis(nowMillis: Long): Long? = parts.storeHeardAtMillis?.let { nowMillis - it }

    public val pendingRequests: Int get() = parts.requests.size + parts.earlyRequests.size
    public val serverCount: Int get() = parts.servers.size

    /** The limits that servers state, in requests a second, by server. */
    public val requestLimits: Map<String, Double>
        get() =
            buildMap {
                for ((id, server) in parts.servers) server.requestLimit?.let { put(id, it.requestsPerSecond) }
            }

    /** Why a request that was placed at [server] must not be written to it any more; null if it may. */
    public fun withdrawal(server: BackendServer): ServerWithdrawal? = parts.withdrawal(server)

    /** Whether the request [key], which was placed at a server, may be written to it as far as its caller's key is concerned. */
    public fun isKeyInForce(
        key: RequestKey,
        nowMillis: Long,
    ): Boolean = parts.requests[key]?.let { parts.keyProblem(it, nowMillis) } == null

    /** Whether the request [key], which was placed at a server, may still be written to it as far as a planned stop is concerned. */
    public fun mayBeginBeforeStop(key: RequestKey): Boolean = parts.requests[key]?.let { parts.outlastsStop(it) } != true

    /** Number of client accounts; null where callers need no key. */
    public val accountCount: Int? get() =
        parts.config
            ?.accounts
            ?.accounts
            ?.size

    /** Whether no known key can have been taken away for longer than the bound; requests with keys run only then. */
    public fun areKeysTrusted(nowMillis: Long): Boolean = parts.areKeysTrusted(nowMillis)

    /** Slowdown of streams for each service, compared with idle engines; waits included. */
    public val slowdown: Map<String, Double> get() = parts.pace.mapValues { it.value.slowdown }

    /** Estimated number of running and waiting requests of each server, for the state dump. */
    public fun serverOccupancy(nowMillis: Long): Map<String, Double> =
        parts.servers.mapValues { it.value.occupancy(nowMillis, parts.settings.loadHalfLifeMillis) }
}

internal data class ServingParts(
    val self: FailureDomain,
    val settings: ServingSettings,
    val config: ServingConfig? = null,
    val startedAtMillis: Long? = null,
    /** When the platform's store last reported that all its changes are known here; null before the first report. */
    val storeHeardAtMillis: Long? = null,
    /** When the question was asked whose answer last confirmed the client accounts; null if none has since the start or a pause. */
    val accountsAskedAtMillis: Long? = null,
    /** When a pause of the process was last noticed; null if none was. */
    val resumedAtMillis: Long? = null,
    /** Requests that arrived before the first configuration, in the order of arrival. */
    val earlyRequests: PersistentList<EarlyRequest> = persistentListOf(),
    val servers: PersistentMap<String, ServerState> = persistentHashMapOf(),
    /** Servers that have said in answers to this host that they leave. */
    val leavingServers: PersistentMap<ServerRun, LeavingServer> = persistentHashMapOf(),
    val isStoreReachable: Boolean = false,
    val storeReachableSinceMillis: Long = 0,
    /** When this process last heard anything of the store; null until it has. Not all changes need be known here yet. */
    val storeContactAtMillis: Long? = null,
    /** Until when entries that expired during an outage of the store stay in use. */
    val expiryGraceEndsAtMillis: Long = 0,
    val requests: PersistentMap<RequestKey, PendingRequest> = persistentHashMapOf(),
    val meanServiceDurationMillis: PersistentMap<String, Double> = persistentHashMapOf(),
    val pace: PersistentMap<String, TurnPace> = persistentHashMapOf(),
    /** Number of entry hosts that share the servers' limits. */
    val entryHostCount: Int = settings.assumedEntryHosts,
    /** Paces this host's own requests while no shared pacer can be reached. */
    val ownPacer: RequestPacer = RequestPacer(),
    /** What is known of the use of client accounts with a limit, by name. */
    val quotas: PersistentMap<String, KnownQuota> = persistentHashMapOf(),
    /** Callers that were turned away and requests that ended lately, by service; empty unless returns are ordered. */
    val returnDemand: PersistentMap<String, ReturnDemand> = persistentHashMapOf(),
    /** Until when requests must be answered; null unless the process is about to stop. */
    val stopsAtMillis: Long? = null,
    val crashes: CrashRegister = CrashRegister(),
    /** Whether this process has asked the turn hosts for the reports of other entry hosts; true while it knows no turn hosts. */
    val areCrashReportsKnown: Boolean = true,
    val recentAnswers: RecentAnswers = RecentAnswers(settings.maxRememberedAnswers),
    val startedPrograms: RecentPrograms = RecentPrograms(settings.maxRememberedPrograms),
)

/** The initial state of a process in failure domain [self]. */
public fun servingState(
    self: FailureDomain,
    settings: ServingSettings = ServingSettings(),
): ServingState = ServingState(ServingParts(self, settings))
