package lavendertrail.node

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit

/** Metrics of one node. Labels only take values from small fixed sets: routes, status classes, kinds of calls. */
internal class NodeMetrics {
    val registry: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    fun bindProcess() {
        JvmMemoryMetrics().bindTo(registry)
        JvmGcMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    fun recordRequest(
        route: String,
        status: Int,
        nanos: Long,
    ): Unit =
        registry
            .timer("lavendertrail.api.requests", Tags.of("route", route, "status", "${status / STATUS_CLASS_SIZE}xx"))
            .record(nanos, TimeUnit.NANOSECONDS)

    fun recordForward(): Unit = registry.counter("lavendertrail.api.forwards").increment()

    fun bindRunner(runner: Runner) {
        gauge("lavendertrail.runner.queue") { runner.stats().queueLength.toDouble() }
        gauge("lavendertrail.runner.decisions") { runner.stats().decisions.toDouble() }
        gauge("lavendertrail.runner.decision.median.seconds") { runner.stats().decisionMedianNanos / NANOS_PER_SECOND }
        gauge("lavendertrail.runner.decision.p99.seconds") { runner.stats().decisionP99Nanos / NANOS_PER_SECOND }
        gauge("lavendertrail.runner.cpu.seconds") { runner.stats().cpuNanos / NANOS_PER_SECOND }
        gauge("lavendertrail.runner.allocated.bytes") { runner.stats().allocatedBytes.toDouble() }
        gauge("lavendertrail.runner.faults") { runner.stats().faults.toDouble() }
    }

    fun bindState(runner: Runner) {
        gauge("lavendertrail.config.revision") {
            runner.state.config.headRevision
                .toDouble()
        }
        gauge("lavendertrail.partitions.owned") {
            runner.state.membership.owned.values
                .count { it.isActive }
                .toDouble()
        }
        gauge("lavendertrail.nodes.dead") {
            runner.state.membership.dead.size
                .toDouble()
        }
    }

    fun bindService(service: MeteredKeyValueService): Unit =
        SERVICE_CALLS.forEach { kind ->
            Gauge
                .builder("lavendertrail.service.calls") { (service.counts()[kind] ?: 0).toDouble() }
                .tags("kind", kind)
                .register(registry as MeterRegistry)
        }

    fun gauge(
        name: String,
        value: () -> Double,
    ) {
        Gauge.builder(name) { value() }.register(registry)
    }

    private companion object {
        const val STATUS_CLASS_SIZE = 100
        const val NANOS_PER_SECOND = 1e9
        val SERVICE_CALLS = listOf("range", "get", "swap", "delete", "grantLease", "keepAlive", "revokeLease", "watch")
    }
}
