package lavendertrail.turns

import lavendertrail.serving.BudgetTally
import lavendertrail.serving.TokenUse
import java.nio.ByteBuffer

/*
 * A compact binary encoding of a program's uses. A program may have several hundred attempts, and the reply to each reservation
 * contains all of them; encoded as a list of objects, they took most of the CPU time of a turn.
 *
 * Each use consists of the length of the attempt id (two bytes), the id in UTF-8, and the number of tokens (four bytes), which is
 * stored as `-tokens - 1` if the use is settled.
 */

private const val FIXED_BYTES_PER_USE = 6

internal fun packUses(uses: Collection<UseRecord>): ByteArray {
    val ids = uses.map { it.attemptId.toByteArray() }
    val buffer = ByteBuffer.allocate(ids.sumOf { it.size + FIXED_BYTES_PER_USE })
    uses.zip(ids) { use, id ->
        buffer.putShort(id.size.toShort()).put(id)
        buffer.putInt(if (use.isSettled) -use.tokens - 1 else use.tokens)
    }
    return buffer.array()
}

/** Decodes the uses in [bytes]; null if the data is truncated. */
internal fun unpackUses(bytes: ByteArray): BudgetTally? {
    val buffer = ByteBuffer.wrap(bytes)
    val entries = HashMap<String, TokenUse>()
    while (buffer.hasRemaining()) {
        if (buffer.remaining() < FIXED_BYTES_PER_USE) return null
        val size = buffer.getShort().toInt() and 0xFFFF
        if (buffer.remaining() < size + Int.SIZE_BYTES) return null
        val id = String(bytes, buffer.position(), size)
        buffer.position(buffer.position() + size)
        val packed = buffer.getInt()
        entries[id] = if (packed < 0) TokenUse(-(packed + 1), isSettled = true) else TokenUse(packed, isSettled = false)
    }
    return BudgetTally(entries)
}
