package lavendertrail.journal

import lavendertrail.model.PartitionId
import java.io.IOException

/**
 * Decides what one journal copy accepts; the same for every kind of [CopyStorage].
 *
 * | request | condition | otherwise |
 * |---|---|---|
 * | plain append | sealed at exactly the request's epoch and attempt | `Fenced`, `Failed` |
 * | append with `truncateTo` or `create` | seal not above the request's; raises it | `Fenced`, `Failed` |
 * | seal | seal not above the request's; raises it | `Fenced`, `Failed` |
 */
internal class JournalCopy(
    private val storage: CopyStorage,
) {
    private val lock = Any()

    fun append(request: JournalAppend): JournalAnswer =
        answering {
            refusal(request.epoch, request.attempt)
                ?: if (request.truncateTo != null || request.create) rebuild(request) else continueCopy(request)
        }

    fun seal(request: JournalSeal): JournalAnswer =
        answering {
            refusal(request.epoch, request.attempt) ?: run {
                raiseSeal(request.epoch, request.attempt)
                if (request.completeAt != null) confirm(request.completeAt)
                answer()
            }
        }

    fun read(request: JournalRead): JournalPage =
        synchronized(lock) {
            val inRange = request.fromIndex in storage.firstIndex until storage.nextIndex
            val entries =
                try {
                    if (inRange) storage.read(request.fromIndex, request.maxBytes) else emptyList()
                } catch (e: IOException) {
                    return page(emptyList(), "read failed: ${e.message}")
                }
            val damage = storage.damage
            when {
                request.fromIndex < storage.firstIndex -> page(entries, "entries before ${storage.firstIndex} are reclaimed")
                entries.isEmpty() && damage != null && request.fromIndex >= damage.fromIndex -> page(entries, damage.toString())
                else -> page(entries, null)
            }
        }

    fun reclaim(request: JournalReclaim): JournalAnswer =
        answering {
            refusal(request.epoch, request.attempt) ?: notSealedFor(request.epoch, request.attempt) ?: run {
                storage.reclaim(minOf(request.beforeIndex, storage.nextIndex))
                answer()
            }
        }

    fun status(partition: PartitionId): JournalCopyStatus =
        synchronized(lock) {
            val state = storage.state
            val damage = storage.damage?.toString()
            JournalCopyStatus(partition, state.sealedEpoch, storage.firstIndex, storage.nextIndex, state.complete, damage)
        }

    /** Runs [work] while no request changes the copy. */
    fun <T> locked(work: () -> T): T = synchronized(lock, work)

    private fun answering(work: () -> JournalAnswer): JournalAnswer =
        synchronized(lock) {
            try {
                work()
            } catch (e: IOException) {
                JournalAnswer.Failed("journal write failed: ${e.message}")
            }
        }

    private fun refusal(
        epoch: Long,
        attempt: Long,
    ): JournalAnswer? {
        val state = storage.state
        return when {
            epoch < state.sealedEpoch -> JournalAnswer.Fenced(state.sealedEpoch)
            epoch == state.sealedEpoch && attempt < state.attempt -> superseded(attempt)
            else -> null
        }
    }

    private fun superseded(attempt: Long) = JournalAnswer.Failed("attempt $attempt was superseded by attempt ${storage.state.attempt}")

    private fun notSealedFor(
        epoch: Long,
        attempt: Long,
    ): JournalAnswer? {
        val state = storage.state
        if (epoch == state.sealedEpoch && attempt == state.attempt) return null
        return JournalAnswer.Failed("copy is sealed at ${state.sealedEpoch}/${state.attempt}, not at $epoch/$attempt")
    }

    /**
     * The sender's entries below the first one of an append are on both copies. So a copy that the append continues
     * has all that was acknowledged, and counts as complete again after a loss of power.
     */
    private fun continueCopy(request: JournalAppend): JournalAnswer {
        notSealedFor(request.epoch, request.attempt)?.let { return it }
        storage.damage?.let { return damaged(it) }
        val refused = write(request.entries)
        if (refused != null) return refused
        if (!storage.state.complete && request.entries.isNotEmpty()) markComplete()
        return answer()
    }

    private fun rebuild(request: JournalAppend): JournalAnswer {
        raiseSeal(request.epoch, request.attempt)
        if (storage.state.complete) storage.save(storage.state.copy(complete = false))
        val to = request.truncateTo
        if (to != null && !cut(to, restart = request.create)) return JournalAnswer.Gap(storage.nextIndex)
        storage.damage?.let { return damaged(it) }
        return write(request.entries) ?: answer()
    }

    private fun cut(
        to: Long,
        restart: Boolean,
    ): Boolean {
        if (!restart && to !in storage.firstIndex..storage.nextIndex) return false
        if (restart) {
            storage.restart(to)
        } else if (to < storage.nextIndex || storage.damage != null) {
            storage.truncate(to)
        }
        return true
    }

    private fun write(entries: List<JournalEntry>): JournalAnswer? {
        val conflict = entries.zipWithNext().firstOrNull { (one, next) -> next.index != one.index + 1 }
        if (conflict != null) return JournalAnswer.Failed("entry ${conflict.second.index} can't follow entry ${conflict.first.index}")
        val held = entries.takeWhile { it.index < storage.nextIndex }
        val different = held.firstOrNull { !holds(it) }
        if (different != null) return storage.damage?.let { damaged(it) } ?: JournalAnswer.Gap(different.index)
        val added = entries.drop(held.size)
        if (added.isEmpty()) return null
        if (added.first().index > storage.nextIndex) return JournalAnswer.Gap(storage.nextIndex)
        storage.write(added)
        return null
    }

    /** Reclaimed entries were on both copies, so a repeated append of them is one that was accepted before. */
    private fun holds(entry: JournalEntry): Boolean {
        if (entry.index < storage.firstIndex) return true
        return storage.read(entry.index, maxBytes = 1).firstOrNull()?.isSameAs(entry) == true
    }

    private fun raiseSeal(
        epoch: Long,
        attempt: Long,
    ) {
        val state = storage.state
        if (epoch != state.sealedEpoch || attempt != state.attempt) storage.save(state.copy(sealedEpoch = epoch, attempt = attempt))
    }

    private fun confirm(length: Long) {
        if (storage.damage == null && storage.nextIndex == length && !storage.state.complete) markComplete()
    }

    private fun markComplete() {
        storage.flush()
        storage.save(storage.state.copy(complete = true))
    }

    private fun answer(): JournalAnswer =
        storage.damage?.let { damaged(it) }
            ?: JournalAnswer.Accepted(storage.nextIndex, storage.lastEpoch, storage.state.complete)

    private fun damaged(damage: CopyDamage) = JournalAnswer.Failed(damage.toString(), damaged = true)

    private fun page(
        entries: List<JournalEntry>,
        error: String?,
    ) = JournalPage(entries, storage.nextIndex, error, storage.firstIndex)
}

/** The record hash covers all of the record but its text, which is covered by a hash of its own. */
internal fun JournalEntry.isSameAs(other: JournalEntry) = index == other.index && epoch == other.epoch && record.hash == other.record.hash
