package lavendertrail.node

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import lavendertrail.membership.PartitionRecord
import lavendertrail.model.PartitionId
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueService
import lavendertrail.reducer.Event
import lavendertrail.reducer.PartitionRecordRead
import lavendertrail.reducer.PartitionSwapEnded
import lavendertrail.reducer.PartitionSwapFailed
import lavendertrail.reducer.PoisonLearned
import lavendertrail.reducer.PoisonMark
import lavendertrail.reducer.ReadPartition
import lavendertrail.reducer.SavePoisonMark
import lavendertrail.reducer.SwapPartition
import org.tinylog.kotlin.Logger

/** Writes and reads of partition records and poison marks. A lost answer of a write is settled by reading back. */
internal class ServiceRecords(
    private val service: KeyValueService,
    private val background: BackgroundExecutor,
    private val emit: (Event) -> Unit,
) {
    fun swap(effect: SwapPartition): Unit =
        background.run("swap of partition ${effect.partition}") {
            val key = ServiceKeys.partition(effect.partition)
            val value = ServiceKeys.json.encodeToString(effect.record)
            service.swap(key, effect.expectedRevision, value).fold(
                { answer -> emit(effect.ended(answer.won, answer.current)) },
                { lost -> emit(settleLost(effect, key, lost)) },
            )
        }

    /** The write may still be under way where the old revision stands, so that case is a failure and not a loss. */
    private fun settleLost(
        effect: SwapPartition,
        key: String,
        lost: StepError,
    ): Event =
        service.get(key).fold(
            { current ->
                if ((current?.revision ?: 0) == effect.expectedRevision) {
                    PartitionSwapFailed(effect.partition, lost.toString())
                } else {
                    effect.ended(won = false, current)
                }
            },
            { unread -> PartitionSwapFailed(effect.partition, "$lost; $unread") },
        )

    /** What stands there is ours where owner node, incarnation and epoch agree, whoever's answer was lost. */
    private fun SwapPartition.ended(
        won: Boolean,
        current: KeyValue?,
    ): Event {
        val standing = current?.toPartitionRecord()
        val ours = won || (standing != null && standing.sameWriter(record))
        return PartitionSwapEnded(partition, ours, if (ours) record else standing, current?.revision ?: 0)
    }

    fun read(effect: ReadPartition): Unit =
        background.run("read of partition ${effect.partition}") {
            service.get(ServiceKeys.partition(effect.partition)).fold(
                { current -> emit(current.toPartitionEvent(effect.partition)) },
                { error -> emit(PartitionSwapFailed(effect.partition, error.toString())) },
            )
        }

    /** Keeps the higher count where another node wrote the same fingerprint, unless the mark clears it. */
    fun savePoisonMark(effect: SavePoisonMark): Unit =
        background.run("poison mark ${effect.mark.fingerprint}") {
            val key = ServiceKeys.poison(effect.mark.fingerprint)
            var attempts = 0
            var saved = false
            while (!saved && attempts++ < MARK_ATTEMPTS) {
                val current = service.get(key).fold({ it }, { null })
                val standing = current?.let { ServiceKeys.json.decodeFromString<PoisonMark>(it.value) }
                val mark = effect.mark.merged(standing)
                val answer = service.swap(key, current?.revision ?: 0, ServiceKeys.json.encodeToString(mark)).get()
                saved = answer?.won == true
                if (saved) emit(PoisonLearned(listOf(mark))) else Thread.sleep(MARK_RETRY_MILLIS * attempts)
            }
            if (!saved) {
                Logger.warn("service: poison mark ${effect.mark.fingerprint} could not be saved")
                emit(PoisonLearned(listOf(effect.mark)))
            }
        }

    private companion object {
        const val MARK_ATTEMPTS = 5
        const val MARK_RETRY_MILLIS = 200L
    }
}

internal fun KeyValue.toPartitionRecord(): PartitionRecord = ServiceKeys.json.decodeFromString<PartitionRecord>(value)

internal fun KeyValue?.toPartitionEvent(partition: PartitionId): Event =
    PartitionRecordRead(partition, this?.toPartitionRecord(), this?.revision ?: 0)

private fun PartitionRecord.sameWriter(other: PartitionRecord): Boolean =
    ownerNode == other.ownerNode && ownerIncarnation == other.ownerIncarnation && epoch == other.epoch

private fun PoisonMark.merged(other: PoisonMark?): PoisonMark =
    if (other == null || (crashes == 0 && other.lastCrashMillis <= lastCrashMillis)) {
        this
    } else {
        copy(
            crashes = maxOf(crashes, other.crashes),
            crashedServers = crashedServers + other.crashedServers,
            lastCrashMillis = maxOf(lastCrashMillis, other.lastCrashMillis),
        )
    }
