package lavendertrail.api

import lavendertrail.journal.JournalStore
import lavendertrail.node.BackgroundExecutor
import lavendertrail.node.EntryRouter
import lavendertrail.node.MeteredKeyValueService
import lavendertrail.node.NodeMetrics
import lavendertrail.node.PauseGate
import lavendertrail.node.Peers
import lavendertrail.reducer.Event
import lavendertrail.reducer.NodeState
import lavendertrail.settings.ApiSettings
import lavendertrail.settings.NodeSettings
import org.http4k.routing.routes

/** All routes of a node, with what they need. */
internal fun nodeApi(
    settings: NodeSettings,
    router: EntryRouter,
    state: () -> NodeState,
    background: BackgroundExecutor,
    metrics: NodeMetrics,
    service: MeteredKeyValueService,
    peers: Peers,
    journal: JournalStore?,
    emit: (Event) -> Unit,
    dump: () -> String,
    notReady: () -> String?,
    gate: PauseGate,
): ApiHandler {
    val operators = settings.operators.associate { it.tokenSha256.lowercase() to it.name }
    val authentication = Authentication(settings.api.allowUnauthenticated, operators) { state().config }
    val entry = Entry(router, authentication, settings.api.toApiLimits())
    val calls = CallRoutes(entry, background)
    val all =
        routes(
            ProgramRoutes(entry, ProgramIds(state), state).routes,
            calls.routes,
            AdminRoutes(entry, state, journal, emit, dump).routes,
            ConfigRoutes(entry, ConfigStore(service, state), state, peers, background).routes,
            healthRoutes(metrics.registry, notReady),
        )
    return ApiHandler(
        routes = { request ->
            gate.awaitOpen()
            all(request)
        },
        maxOpenRequests = settings.api.maxOpenRequests,
        streams = calls::openStreams,
        onAnswer = metrics::recordRequest,
    )
}

private fun ApiSettings.toApiLimits(): ApiLimits =
    ApiLimits(
        maxJsonDepth = maxJsonDepth,
        defaultDeadlineMillis = defaultDeadlineMillis,
        maxDeadlineMillis = maxDeadlineMillis,
        maxOpenRequests = maxOpenRequests,
    )
