package lavendertrail.experiment

import lavendertrail.dev.DevCluster
import lavendertrail.standins.Outage
import lavendertrail.standins.PlatformSettings
import lavendertrail.standins.RunningEngine

/** A fault injected into a run of the same workload. [begin] and [end] are called at fixed points of the arrival window. */
internal enum class ExperimentFault(
    val title: String,
    val adapt: (PlatformSettings) -> PlatformSettings = { it },
    val begin: (DevCluster) -> Unit = {},
    val end: (DevCluster) -> Unit = {},
) {
    NONE("none"),
    SERVER_LOST(
        "server lost from 0.3 to 0.6",
        begin = {
            it.faultedEngine().standin.restartsAutomatically = false
            it.faultedEngine().standin.crash()
        },
        end = { it.faultedEngine().standin.restart() },
    ),
    SERVER_SLOW(
        "server 4 times slower from 0.3 to 0.6",
        begin = {
            it
                .faultedEngine()
                .standin.faults.slowFactor = 4.0
        },
        end = {
            it
                .faultedEngine()
                .standin.faults.slowFactor = 1.0
        },
    ),
    EVENTS_WITHHELD("cache events withheld", adapt = { it.withoutCacheEvents() }),
    SERVICE_DOWN(
        "key-value service down from 0.3 to 0.6",
        begin = { it.platform.keyValue.outage = Outage.UNAVAILABLE },
        end = { it.platform.keyValue.outage = Outage.NONE },
    ),
    NODE_KILLED("node killed at 0.3", begin = { it.kill(1) }),
}

private fun DevCluster.faultedEngine(): RunningEngine = platform.engines.first()

private fun PlatformSettings.withoutCacheEvents(): PlatformSettings =
    copy(
        owners =
            owners.map { owner ->
                owner.copy(models = owner.models.map { it.copy(engine = it.engine.copy(cacheEventLossPercent = 100)) })
            },
    )
