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

/** A node asks peers for newer records at most this often. */
private const val FETCH_INTERVAL_MILLIS = 500L

/**
 * Keeps the configuration in force. A record is replaced only by one of a higher revision, so a late watch, a peer that
 * is behind, or a restart never brings an old one back; deletions are kept as records for the same reason.
 */
internal fun reduceConfig(
    state: NodeState,
    timed: TimedEvent,
): Step =
    when (val event = timed.event) {
        is ConfigRecordsReceived -> state.receive(event, timed.nowMillis)
        is ProbeReceived -> state.compareRevision(event.message, timed.nowMillis)
        is ProbeAnswered -> state.compareRevision(event.message, timed.nowMillis)
        else -> Step(state)
    }

private fun NodeState.receive(
    event: ConfigRecordsReceived,
    nowMillis: Long,
): Step {
    val newer = (event.records + deletedBy(event)).filter { it.isNewerThan(config) }
    if (newer.isEmpty()) return Step(this)
    val applied =
        newer.fold(config) { current, record -> current.apply(record) }.readRejectedAgain().let {
            it.copy(headRevision = maxOf(it.headRevision, newer.maxOf(StoredRecord::revision)), appliedAtMillis = nowMillis)
        }
    return Step(
        state = copy(config = applied),
        effects = listOf(SaveConfig(applied.stored.values.toList(), applied.headRevision)),
        signals = listOf(ConfigApplied(applied.headRevision, newer.map { it.kind }.toSet())),
    )
}

/** Records that a complete listing no longer has. A listing older than what is in force deletes nothing. */
private fun NodeState.deletedBy(event: ConfigRecordsReceived): List<StoredRecord> {
    if (!event.complete || event.headRevision < config.headRevision) return emptyList()
    val listed = event.records.map { it.mapKey }.toSet()
    return config.stored.values
        .filter { !it.deleted && it.mapKey !in listed }
        .map { it.copy(json = "{}", revision = event.headRevision, deleted = true) }
}

private fun StoredRecord.isNewerThan(config: ConfigState): Boolean = revision > (config.stored[mapKey]?.revision ?: 0)

private fun ConfigState.apply(record: StoredRecord): ConfigState {
    val kept = copy(stored = stored.put(record.mapKey, record))
    if (record.deleted) return kept.without(record).copy(rejected = rejected.remove(record.mapKey))
    return kept.read(record).mapBoth(
        success = { it.copy(rejected = it.rejected.remove(record.mapKey)) },
        failure = { kept.copy(rejected = kept.rejected.put(record.mapKey, it)) },
    )
}

/** A record that names another may come before it; what could not be read is tried again after each change. */
private fun ConfigState.readRejectedAgain(): ConfigState =
    rejected.keys.fold(this) { state, key -> stored[key]?.let { state.apply(it) } ?: state }

private val StoredRecord.mapKey: String get() = "$kind/$name"

private fun NodeState.compareRevision(
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
