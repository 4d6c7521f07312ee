package lavendertrail.gateway

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import lavendertrail.serving.AttemptOutcome
import lavendertrail.serving.PermitDecision
import lavendertrail.serving.PlacementReason
import lavendertrail.serving.QuotaDecision
import lavendertrail.serving.RejectReason
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Counters and latency histograms of a gateway process. The number of time series is fixed. */
public class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val rejections: Map<RejectReason, Counter> =
        RejectReason.entries.associateWith { registry.counter("lavendertrail_rejections", "reason", it.name.lowercase()) }
    private val attempts: Map<AttemptOutcome, Counter> =
        AttemptOutcome.entries.associateWith { registry.counter("lavendertrail_attempts", "outcome", it.name.lowercase()) }
    private val permits: Map<PermitOutcome, Counter> =
        PermitOutcome.entries.associateWith { registry.counter("lavendertrail_permits", "outcome", it.name.lowercase()) }
    private val quotas: Map<PermitOutcome, Counter> =
        PermitOutcome.entries.associateWith { registry.counter("lavendertrail_account_requests", "outcome", it.name.lowercase()) }
    private val placements: Map<PlacementReason, Counter> =
        PlacementReason.entries.associateWith { registry.counter("lavendertrail_placements", "reason", it.name.lowercase()) }
    private val storeWatchEnds: Counter = registry.counter("lavendertrail_store_watch_ends")
    private val storeHeardAtMillis = AtomicLong(nowMillis())
    private val accounts = AtomicLong()
    private val keysTrusted = AtomicLong(1)
    private val leavingServers: Counter = registry.counter("lavendertrail_leaving_servers")
    private val sentAfterWithdrawal: Timer =
        Timer.builder("lavendertrail_sent_after_withdrawal").serviceLevelObjectives(*LATENCY_BUCKETS).register(registry)
    private val responses: Timer =
        Timer.builder("lavendertrail_answer").serviceLevelObjectives(*LATENCY_BUCKETS).register(registry)
    private val lookups: Timer =
        Timer.builder("lavendertrail_turn_lookup").serviceLevelObjectives(*LATENCY_BUCKETS).register(registry)
    private val saves: Timer =
        Timer.builder("lavendertrail_turn_save").serviceLevelObjectives(*LATENCY_BUCKETS).register(registry)

    init {
        // The age of what is known of the platform's store, in seconds.
        registry.gauge("lavendertrail_store_silence_seconds", storeHeardAtMillis) { (nowMillis() - it.get()) / MILLIS_PER_SECOND }
        registry.gauge("lavendertrail_accounts", accounts)
        // 0 while requests with keys are refused, since a key may have been taken away without this process having heard.
        registry.gauge("lavendertrail_keys_trusted", keysTrusted)
    }

    /** Records the number of client accounts, and whether requests with their keys run. */
    public fun recordAccounts(
        count: Int,
        areKeysTrusted: Boolean,
    ) {
        accounts.set(count.toLong())
        keysTrusted.set(if (areKeysTrusted) 1 else 0)
    }

    /** Rejections since the start by reason, without reasons that haven't occurred. */
    public fun rejectionCounts(): Map<String, Long> =
        rejections.entries.associate { (reason, counter) -> reason.name.lowercase() to counter.count().toLong() }.filterValues { it > 0 }

    /** Records that the platform's store has reported its changes, or that there are none. */
    public fun recordStoreHeard(): Unit = storeHeardAtMillis.set(nowMillis())

    /** Records a watch of the platform's store that ended and is opened again. */
    public fun recordStoreWatchEnd(): Unit = storeWatchEnds.increment()

    public fun recordRejection(reason: RejectReason): Unit = rejections.getValue(reason).increment()

    public fun recordAttempt(outcome: AttemptOutcome): Unit = attempts.getValue(outcome).increment()

    /** Records why a request was sent to its server. */
    public fun recordPlacement(reason: PlacementReason): Unit = placements.getValue(reason).increment()

    /** Records how long after the withdrawal of a server the last request was sent to it; null if none was sent at all. */
    public fun recordWithdrawnServer(lastSentAfterMillis: Long?) {
        lastSentAfterMillis?.let { sentAfterWithdrawal.record(it.coerceAtLeast(0), TimeUnit.MILLISECONDS) }
    }

    /** Records a server that has said for the first time that it leaves. */
    public fun recordLeavingServer(): Unit = leavingServers.increment()

    /** Records the reply to a permit request; null if no turn host replied. */
    public fun recordPermit(decision: PermitDecision?) {
        val outcome =
            when {
                decision == null -> PermitOutcome.NO_REPLY
                decision.serverId == null -> PermitOutcome.DENIED
                else -> PermitOutcome.GRANTED
            }
        permits.getValue(outcome).increment()
    }

    /** Records whether the limit of a client account had room for a request; null if no turn host decided. */
    public fun recordQuota(decision: QuotaDecision?) {
        val outcome =
            when (decision?.isGranted) {
                null -> PermitOutcome.NO_REPLY
                false -> PermitOutcome.DENIED
                true -> PermitOutcome.GRANTED
            }
        quotas.getValue(outcome).increment()
    }

    private enum class PermitOutcome { GRANTED, DENIED, NO_REPLY }

    /** Records a complete response, [millis] after the request's arrival. */
    public fun recordResponse(millis: Long): Unit = responses.record(millis, TimeUnit.MILLISECONDS)

    public fun recordTurnLookup(millis: Long): Unit = lookups.record(millis, TimeUnit.MILLISECONDS)

    public fun recordTurnSave(millis: Long): Unit = saves.record(millis, TimeUnit.MILLISECONDS)

    /** Returns all series in the Prometheus text format. */
    public fun scrape(): String = registry.scrape()

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        val LATENCY_BUCKETS = listOf(10L, 25L, 50L, 100L, 250L, 500L, 1_000L, 2_500L).map { java.time.Duration.ofMillis(it) }.toTypedArray()
    }
}
