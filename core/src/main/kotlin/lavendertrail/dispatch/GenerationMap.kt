package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * A bounded persistent map. At most twice [limit] entries are kept, among them the [limit] written last.
 *
 * When the young generation is full it replaces the old one, so that eviction has no cost per entry.
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

    /** Each entry once. */
    fun entries(): List<Pair<K, V>> = (old + young).map { it.key to it.value }
}
