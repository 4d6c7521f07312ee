package lavendertrail.serving

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf

/** Programs that have had a turn at this entry host, in two generations of at most half of [limit] each. */
internal data class RecentPrograms(
    private val limit: Int,
    private val newer: PersistentSet<String> = persistentHashSetOf(),
    private val older: PersistentSet<String> = persistentHashSetOf(),
) {
    operator fun contains(programId: String): Boolean = programId in newer || programId in older

    operator fun plus(programId: String): RecentPrograms =
        when {
            programId in newer -> this
            newer.size >= limit / 2 -> copy(newer = persistentHashSetOf(programId), older = newer)
            else -> copy(newer = newer.add(programId))
        }
}
