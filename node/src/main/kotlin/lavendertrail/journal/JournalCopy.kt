package lavendertrail.journal

import lavendertrail.model.PartitionId
import java.io.IOException

/**
 * Decides which requests one journal copy accepts, for any [CopyStorage].
 *
 * | request | accepted if | otherwise |
 * |---|---|---|
 * | plain append | the copy is sealed at exactly the request's epoch and attempt | `Fenced`, `Failed` |
 * | append with `truncateTo` or `create` | the seal is not above the request's; it is raised | `Fenced`, `Failed` |
 * | seal | the seal is not above the request's; it is raised | `Fenced`, `Failed` |
 */
internal class JournalCopy(
    private val storage: CopyStorage,
) {
    private val lock = Any()

    fun append(request: JournalAppend): JournalAnswer =
        catchIoErrors {
            rejectionOrNull(request.epoch, request.attempt)
                ?: if (request.truncateTo != null || request.create) rebuild(request) else appendToCopy(request)
        }

    fun seal(request: JournalSeal): JournalAnswer =
        catchIoErrors {
            rejectionOrNull(request.epoch, request.attempt) ?: run {
                raiseSeal(request.epoch, request.attempt)
                if (request.completeAt != null) confirmComplete(request.completeAt)
                currentAnswer()
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
                request.fromIndex < storage.firstIndex -> page(entries, "entries before ${storage.firstIndex} were reclaimed")
                entries.isEmpty() && damage != null && request.fromIndex >= damage.fromIndex -> page(entries, damage.toString())
                else -> page(entries, null)
            }
        }

    fun reclaim(request: JournalReclaim): JournalAnswer =
        catchIoErrors {
            rejectionOrNull(request.epoch, request.attempt) ?: sealMismatchOrNull(request.epoch, request.attempt) ?: run {
                storage.reclaim(minOf(request.beforeIndex, storage.nextIndex))
                currentAnswer()
            }
        }

    fun status(partition: PartitionId): JournalCopyStatus =
        synchronized(lock) {
            val state = storage.state
            val damage = storage.damage?.toString()
            JournalCopyStatus(partition, state.sealedEpoch, storage.firstIndex, storage.nextIndex, state.complete, damage)
        }

    /** Runs [work] while holding the lock of the copy, so that no request changes it. */
    fun <T> locked(work: () -> T): T = synchronized(lock, work)

    private fun catchIoErrors(work: () -> JournalAnswer): JournalAnswer =
        synchronized(lock) {
            try {
                work()
            } catch (e: IOException) {
                JournalAnswer.Failed("journal write failed: ${e.message}")
            }
        }

    private fun rejectionOrNull(
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

    private fun sealMismatchOrNull(
        epoch: Long,
        attempt: Long,
    ): JournalAnswer? {
        val state = storage.state
        if (epoch == state.sealedEpoch && attempt == state.attempt) return null
        return JournalAnswer.Failed("seal is ${state.sealedEpoch}/${state.attempt} (epoch/attempt), request has $epoch/$attempt")
    }

    /**
     * Appends entries. The sender's entries below the first one of the request are on both copies. A copy that the
     * request continues without a gap therefore has all acknowledged entries and is marked complete again after a power
     * loss.
     */
    private fun appendToCopy(request: JournalAppend): JournalAnswer {
        sealMismatchOrNull(request.epoch, request.attempt)?.let { return it }
        storage.damage?.let { return damagedAnswer(it) }
        val rejection = writeNewEntries(request.entries)
        if (rejection != null) return rejection
        if (!storage.state.complete && request.entries.isNotEmpty()) markComplete()
        return currentAnswer()
    }

    private fun rebuild(request: JournalAppend): JournalAnswer {
        raiseSeal(request.epoch, request.attempt)
        if (storage.state.complete) storage.saveState(storage.state.copy(complete = false))
        val to = request.truncateTo
        if (to != null && !truncateOrReset(to, reset = request.create)) return JournalAnswer.Gap(storage.nextIndex)
        storage.damage?.let { return damagedAnswer(it) }
        return writeNewEntries(request.entries) ?: currentAnswer()
    }

    private fun truncateOrReset(
        to: Long,
        reset: Boolean,
    ): Boolean {
        if (!reset && to !in storage.firstIndex..storage.nextIndex) return false
        if (reset) {
            storage.reset(to)
        } else if (to < storage.nextIndex || storage.damage != null) {
            storage.truncate(to)
        }
        return true
    }

    private fun writeNewEntries(entries: List<JournalEntry>): JournalAnswer? {
        val conflict = entries.zipWithNext().firstOrNull { (one, next) -> next.index != one.index + 1 }
        if (conflict != null) return JournalAnswer.Failed("entry ${conflict.second.index} does not follow entry ${conflict.first.index}")
        val held = entries.takeWhile { it.index < storage.nextIndex }
        val different = held.firstOrNull { !isAlreadyHeld(it) }
        if (different != null) return storage.damage?.let { damagedAnswer(it) } ?: JournalAnswer.Gap(different.index)
        val added = entries.drop(held.size)
        if (added.isEmpty()) return null
        if (added.first().index > storage.nextIndex) return JournalAnswer.Gap(storage.nextIndex)
        storage.write(added)
        return null
    }

    /** Reclaimed entries were on both copies, so an append that contains them repeats one that was accepted before. */
    private fun isAlreadyHeld(entry: JournalEntry): Boolean {
        if (entry.index < storage.firstIndex) return true
        return storage.read(entry.index, maxBytes = 1).firstOrNull()?.isSameAs(entry) == true
    }

    private fun raiseSeal(
        epoch: Long,
        attempt: Long,
    ) {
        val state = storage.state
        if (epoch != state.sealedEpoch || attempt != state.attempt) storage.saveState(state.copy(sealedEpoch = epoch, attempt = attempt))
    }

    private fun confirmComplete(length: Long) {
        if (storage.damage == null && storage.nextIndex == length && !storage.state.complete) markComplete()
    }

    private fun markComplete() {
        storage.flush()
        storage.saveState(storage.state.copy(complete = true))
    }

    private fun currentAnswer(): JournalAnswer =
        storage.damage?.let { damagedAnswer(it) }
            ?: JournalAnswer.Accepted(storage.nextIndex, storage.lastEpoch, storage.state.complete)

    private fun damagedAnswer(damage: CopyDamage) = JournalAnswer.Failed(damage.toString(), damaged = true)

    private fun page(
        entries: List<JournalEntry>,
        error: String?,
    ) = JournalPage(entries, storage.nextIndex, error, storage.firstIndex)
}

/** Compares records by hash. The hash covers the whole record except its text, which has a separate hash. */
internal fun JournalEntry.isSameAs(other: JournalEntry) = index == other.index && epoch == other.epoch && record.hash == other.record.hash
