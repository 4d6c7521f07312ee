package lavendertrail.turns

import lavendertrail.serving.BudgetTally
import lavendertrail.serving.TokenUse
import java.nio.ByteBuffer

/*
 * A program's uses in few bytes and little work. A program may have some hundred attempts, and each reservation returns all of
 * them: as a list of objects, encoding it took most of the processor time of a turn.
 *
 * Each use is the length of its attempt's id (two bytes), the id in UTF-8, and its tokens, as a negative number less one where
 * they are settled (four bytes).
 */

private const val FIXED_BYTES = 6

internal fun packUses(uses: Collection<UseRecord>): ByteArray {
    val ids = uses.map { it.attemptId.toByteArray() }
    val buffer = ByteBuffer.allocate(ids.sumOf { it.size + FIXED_BYTES })
    uses.zip(ids) { use, id ->
        buffer.putShort(id.size.toShort()).put(id)
        buffer.putInt(if (use.isSettled) -use.tokens - 1 else use.tokens)
    }
    return buffer.array()
}

/** The uses packed in [bytes]; null where these are not whole. */
internal fun unpackUses(bytes: ByteArray): BudgetTally? {
    val buffer = ByteBuffer.wrap(bytes)
    val entries = HashMap<String, TokenUse>()
    while (buffer.hasRemaining()) {
        if (buffer.remaining() < FIXED_BYTES) return null
        val size = buffer.getShort().toInt() and 0xFFFF
        if (buffer.remaining() < size + Int.SIZE_BYTES) return null
        val id = String(bytes, buffer.position(), size)
        buffer.position(buffer.position() + size)
        val packed = buffer.getInt()
        entries[id] = if (packed < 0) TokenUse(-(packed + 1), isSettled = true) else TokenUse(packed, isSettled = false)
    }
    return BudgetTally(entries)
}
