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

/** Builds the HTTP API of a node: all routes behind [ApiHandler]. While [gate] is closed, requests wait. */
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
    val context = RouteContext(router, authentication, settings.api.toApiLimits())
    val calls = CallRoutes(context, background)
    val allRoutes =
        routes(
            ProgramRoutes(context, ProgramIds(state), state).routes,
            calls.routes,
            AdminRoutes(context, state, journal, emit, dump).routes,
            ConfigRoutes(context, ConfigStore(service, state), state, peers, background).routes,
            healthRoutes(metrics.registry, notReady),
        )
    return ApiHandler(
        routes = { request ->
            gate.awaitOpen()
            allRoutes(request)
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
