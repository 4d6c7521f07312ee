package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * A persistent map that holds between [limit] and twice [limit] of the entries that were written last.
 *
 * When the young generation is full it replaces the old one, so that forgetting costs nothing per entry.
 */
internal data class GenerationMap<K, V : Any>(
    val limit: Int,
    private val young: PersistentMap<K, V> = persistentHashMapOf(),
    private val old: PersistentMap<K, V> = persistentHashMapOf(),
) {
    operator fun get(key: K): V? = young[key] ?: old[key]

    fun put(
        key: K,
        value: V,
    ): GenerationMap<K, V> =
        if (young.size >= limit && key !in young) {
            copy(young = persistentHashMapOf<K, V>().put(key, value), old = young)
        } else {
            copy(young = young.put(key, value))
        }

    fun remove(key: K): GenerationMap<K, V> = copy(young = young.remove(key), old = old.remove(key))

    /** Every entry once; used for dumps and rare sweeps. */
    fun entries(): List<Pair<K, V>> = (old + young).map { it.key to it.value }
}
