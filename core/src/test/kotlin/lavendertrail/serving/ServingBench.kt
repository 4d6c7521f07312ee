package lavendertrail.serving

import lavendertrail.model.FailureDomain

/** Test fixture: a serving reducer with two services, one server each, that keeps the effects of the last event. */
internal class ServingBench(
    isConfigured: Boolean = true,
    isStarting: Boolean = false,
    settings: ServingSettings = ServingSettings(),
) {
    val config =
        ServingConfig(
            version = 1,
            routes =
                listOf(
                    route("/tools/", "tools", RequestKind.IDEMPOTENT),
                    route("/orders/", "tools", RequestKind.NON_IDEMPOTENT),
                    route("/chat/", "engines", RequestKind.STREAM).copy(turnRetentionMillis = 60_000),
                ),
            services =
                listOf(
                    ServiceSpec("tools", "/healthz", 96),
                    ServiceSpec("engines", "/healthz", 160, EngineSpec(16, 200_000, 4)),
                ).associateBy { it.name },
            limits = CallerLimits(),
        )
    var nowMillis = 10_000L
    var state = servingState(FailureDomain("a"), settings)
        private set
    var effects: List<ServingEffect> = emptyList()
        private set

    init {
        apply(StoreReachabilityChanged(true))
        if (!isStarting) nowMillis += 10_000
        if (isConfigured) apply(ConfigAccepted(config))
        if (!isStarting) {
            addServer("tool-1", "tools")
            addServer("engine-1", "engines")
        }
    }

    fun apply(event: ServingEvent) {
        val step = reduceServing(state, nowMillis, event)
        state = step.state
        effects = step.effects
    }

    fun arrive(
        key: RequestKey,
        request: CallerRequest,
    ) {
        apply(RequestArrived(key, request))
    }

    fun addServer(
        id: String,
        service: String,
        domain: String = "a",
    ) {
        apply(ServerChanged(server(id, service, domain)))
    }

    fun server(
        id: String,
        service: String,
        domain: String = "a",
    ) = BackendServer(id, service, "10.0.0.1:80", FailureDomain(domain), slots = 6, isDraining = false)

    fun plainRequest(
        target: String,
        deadlineMillis: Long = 1_000,
    ) = CallerRequest("attempt$target", "POST", "desk.example", target, deadlineMillis)

    fun turnRequest(
        previous: String?,
        deadlineMillis: Long = 4_000,
    ) = CallerRequest(
        attemptId = "turn-of-$previous",
        method = "POST",
        host = "desk.example",
        target = "/chat/x",
        deadlineMillis = deadlineMillis,
        maxOutputTokens = 136,
        programId = "p",
        tokenBudget = 1_088,
        previousTurnId = previous,
    )

    inline fun <reified T : ServingEffect> singleEffect(): T = effects.single() as T

    private fun route(
        prefix: String,
        service: String,
        kind: RequestKind,
    ) = Route(prefix, "desk.example", prefix, listOf(RouteTarget(service, 1)), kind, 4_000, 250, maxAttempts = 1, priority = 1)
}
