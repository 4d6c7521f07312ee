package lavendertrail.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * Who was last answered here, by fingerprint of the request, in two generations of at most half of [limit] each. It shows that several
 * senders share a request before any of them has lost a connection with it.
 */
internal data class RecentAnswers(
    private val limit: Int,
    private val newer: PersistentMap<String, Answer> = persistentHashMapOf(),
    private val older: PersistentMap<String, Answer> = persistentHashMapOf(),
) {
    data class Answer(
        val senderId: String,
        val atMillis: Long,
    )

    operator fun get(fingerprint: String): Answer? = newer[fingerprint] ?: older[fingerprint]

    fun with(
        fingerprint: String,
        answer: Answer,
    ): RecentAnswers =
        if (newer.size >= limit / 2 && fingerprint !in newer) {
            copy(newer = persistentHashMapOf(fingerprint to answer), older = newer)
        } else {
            copy(newer = newer.put(fingerprint, answer))
        }
}
