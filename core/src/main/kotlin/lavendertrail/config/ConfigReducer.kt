package lavendertrail.config

import com.github.michaelbull.result.mapBoth
import lavendertrail.membership.ProbeMessage
import lavendertrail.reducer.ConfigApplied
import lavendertrail.reducer.ConfigBehind
import lavendertrail.reducer.ConfigRecordsReceived
import lavendertrail.reducer.FetchConfig
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.ProbeAnswered
import lavendertrail.reducer.ProbeReceived
import lavendertrail.reducer.SaveConfig
import lavendertrail.reducer.Step
import lavendertrail.reducer.StoredRecord
import lavendertrail.reducer.TimedEvent

/** Minimum interval between requests to peers for newer records. */
private const val FETCH_INTERVAL_MILLIS = 500L

/**
 * Maintains the configuration in force. A record is replaced only by one of a higher revision, so that a delayed watch event, a
 * stale peer or a restart can't restore an old one. Deletions are stored as records for the same reason.
 */
internal fun reduceConfig(
    state: NodeState,
    timed: TimedEvent,
): Step =
    when (val event = timed.event) {
        is ConfigRecordsReceived -> state.applyReceived(event, timed.nowMillis)
        is ProbeReceived -> state.fetchIfBehind(event.message, timed.nowMillis)
        is ProbeAnswered -> state.fetchIfBehind(event.message, timed.nowMillis)
        else -> Step(state)
    }

private fun NodeState.applyReceived(
    event: ConfigRecordsReceived,
    nowMillis: Long,
): Step {
    val newer = (event.records + deletionsIn(event)).filter { it.isNewerThan(config) }
    if (newer.isEmpty()) return Step(this)
    val applied =
        newer.fold(config) { current, record -> current.applyRecord(record) }.retryRejected().let {
            it.copy(headRevision = maxOf(it.headRevision, newer.maxOf(StoredRecord::revision)), appliedAtMillis = nowMillis)
        }
    return Step(
        state = copy(config = applied),
        effects = listOf(SaveConfig(applied.stored.values.toList(), applied.headRevision)),
        signals = listOf(ConfigApplied(applied.headRevision, newer.map { it.kind }.toSet())),
    )
}

/** Deletions of records that a complete listing no longer contains. A listing older than the configuration in force deletes nothing. */
private fun NodeState.deletionsIn(event: ConfigRecordsReceived): List<StoredRecord> {
    if (!event.complete || event.headRevision < config.headRevision) return emptyList()
    val listed = event.records.map { it.mapKey }.toSet()
    return config.stored.values
        .filter { !it.deleted && it.mapKey !in listed }
        .map { it.copy(json = "{}", revision = event.headRevision, deleted = true) }
}

private fun StoredRecord.isNewerThan(config: ConfigState): Boolean = revision > (config.stored[mapKey]?.revision ?: 0)

private fun ConfigState.applyRecord(record: StoredRecord): ConfigState {
    val updated = copy(stored = stored.put(record.mapKey, record))
    if (record.deleted) return updated.withoutRecord(record).copy(rejected = rejected.remove(record.mapKey))
    return updated.withRecord(record).mapBoth(
        success = { it.copy(rejected = it.rejected.remove(record.mapKey)) },
        failure = { updated.copy(rejected = updated.rejected.put(record.mapKey, it)) },
    )
}

/** A record may arrive before another one that it refers to, so rejected records are decoded again after each change. */
private fun ConfigState.retryRejected(): ConfigState =
    rejected.keys.fold(this) { state, key -> stored[key]?.let { state.applyRecord(it) } ?: state }

private val StoredRecord.mapKey: String get() = "$kind/$name"

private fun NodeState.fetchIfBehind(
    message: ProbeMessage,
    nowMillis: Long,
): Step {
    val mayFetch = nowMillis >= config.fetchedAtMillis + FETCH_INTERVAL_MILLIS
    if (message.configRevision <= config.headRevision || !mayFetch) return Step(this)
    return Step(
        state = copy(config = config.copy(fetchedAtMillis = nowMillis)),
        effects = listOf(FetchConfig(message.from, config.headRevision)),
        signals = listOf(ConfigBehind(message.from, message.configRevision)),
    )
}
