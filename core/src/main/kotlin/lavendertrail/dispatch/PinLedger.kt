package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.model.ProgramId

internal data class PinKey(
    val untilMillis: Long,
    val program: ProgramId,
) : Comparable<PinKey> {
    override fun compareTo(other: PinKey): Int = compareValuesBy(this, other, { it.untilMillis }, { it.program.value })
}

/** Pins that this node requested from one server, ordered by expiry, with the sum of their tokens. */
internal data class PinLedger(
    private val byExpiry: SortedTree<PinKey, Int> = SortedTree(),
    private val keys: PersistentMap<ProgramId, PinKey> = persistentHashMapOf(),
    val pinnedTokens: Long = 0,
) {
    fun withPin(
        program: ProgramId,
        untilMillis: Long,
        pinTokens: Int,
    ): PinLedger {
        val rest = withoutPin(program)
        val key = PinKey(untilMillis, program)
        return PinLedger(rest.byExpiry.put(key, pinTokens), rest.keys.put(program, key), rest.pinnedTokens + pinTokens)
    }

    fun withoutPin(program: ProgramId): PinLedger {
        val key = keys[program] ?: return this
        return PinLedger(byExpiry.remove(key), keys.remove(program), pinnedTokens - (byExpiry[key] ?: 0))
    }

    fun withoutExpired(nowMillis: Long): PinLedger {
        var ledger = this
        while (true) {
            val key = ledger.byExpiry.firstKey()?.takeIf { it.untilMillis <= nowMillis } ?: return ledger
            ledger = ledger.withoutPin(key.program)
        }
    }
}
