package lavendertrail.api

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes

/** Routes for load balancers and monitoring. [notReady] returns why this node must get no new connections, or null if ready. */
internal fun healthRoutes(
    registry: PrometheusMeterRegistry,
    notReady: () -> String?,
): RoutingHttpHandler =
    routes(
        "/healthz" bind Method.GET to { Response(Status.OK).body("ok\n") },
        "/readyz" bind Method.GET to {
            val reason = notReady()
            if (reason == null) Response(Status.OK).body("ready\n") else Response(Status.SERVICE_UNAVAILABLE).body("$reason\n")
        },
        "/metrics" bind Method.GET to {
            Response(Status.OK).header("Content-Type", "text/plain; version=0.0.4; charset=utf-8").body(registry.scrape())
        },
    )
