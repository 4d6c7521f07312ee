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

/** Reads and writes partition records and poison marks. After a write without an answer, the record is read back to find the winner. */
internal class ServiceRecords(
    private val service: KeyValueService,
    private val background: BackgroundExecutor,
    private val emit: (Event) -> Unit,
) {
    fun swapPartition(effect: SwapPartition): Unit =
        background.run("swap of partition ${effect.partition}") {
            val key = ServiceKeys.partition(effect.partition)
            val value = ServiceKeys.json.encodeToString(effect.record)
            service.swap(key, effect.expectedRevision, value).fold(
                { answer -> emit(effect.toEndedEvent(answer.won, answer.current)) },
                { swapError -> emit(resolveLostAnswer(effect, key, swapError)) },
            )
        }

    /** While the old revision is stored, the write may still be in flight, so the swap counts as failed and not as lost. */
    private fun resolveLostAnswer(
        effect: SwapPartition,
        key: String,
        swapError: StepError,
    ): Event =
        service.get(key).fold(
            { current ->
                if ((current?.revision ?: 0) == effect.expectedRevision) {
                    PartitionSwapFailed(effect.partition, swapError.toString())
                } else {
                    effect.toEndedEvent(won = false, current)
                }
            },
            { readError -> PartitionSwapFailed(effect.partition, "$swapError; $readError") },
        )

    /** The stored record is our own if owner node, incarnation and epoch match, even if the answer to the write is missing. */
    private fun SwapPartition.toEndedEvent(
        won: Boolean,
        current: KeyValue?,
    ): Event {
        val stored = current?.toPartitionRecord()
        val isOurs = won || (stored != null && stored.hasSameWriter(record))
        return PartitionSwapEnded(partition, isOurs, if (isOurs) record else stored, current?.revision ?: 0)
    }

    fun readPartition(effect: ReadPartition): Unit =
        background.run("read of partition ${effect.partition}") {
            service.get(ServiceKeys.partition(effect.partition)).fold(
                { current -> emit(current.toPartitionEvent(effect.partition)) },
                { error -> emit(PartitionSwapFailed(effect.partition, error.toString())) },
            )
        }

    /** Keeps the higher count if another node has written the same fingerprint, unless the new mark resets the count. */
    fun savePoisonMark(effect: SavePoisonMark): Unit =
        background.run("poison mark ${effect.mark.fingerprint}") {
            val key = ServiceKeys.poison(effect.mark.fingerprint)
            var attempts = 0
            var saved = false
            while (!saved && attempts++ < MARK_ATTEMPTS) {
                val current = service.get(key).fold({ it }, { null })
                val stored = current?.let { ServiceKeys.json.decodeFromString<PoisonMark>(it.value) }
                val mark = effect.mark.mergedWith(stored)
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

private fun PartitionRecord.hasSameWriter(other: PartitionRecord): Boolean =
    ownerNode == other.ownerNode && ownerIncarnation == other.ownerIncarnation && epoch == other.epoch

private fun PoisonMark.mergedWith(other: PoisonMark?): PoisonMark =
    if (other == null || (crashes == 0 && other.lastCrashMillis <= lastCrashMillis)) {
        this
    } else {
        copy(
            crashes = maxOf(crashes, other.crashes),
            crashedServers = crashedServers + other.crashedServers,
            lastCrashMillis = maxOf(lastCrashMillis, other.lastCrashMillis),
        )
    }
