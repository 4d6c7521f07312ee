package lavendertrail.program

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import lavendertrail.model.Message
import lavendertrail.reducer.PromptPrefix

private const val CHUNK_MESSAGES = 32
private const val LONGS_PER_MESSAGE = 3

/** Upper bound of the tokens that a chat template adds to a message for its role and separators. */
internal const val MESSAGE_OVERHEAD_TOKENS: Int = 16

/** Default of [ProgramSettings.bytesPerToken]. */
public const val DEFAULT_BYTES_PER_TOKEN: Int = 4

/**
 * One [PromptPrefix] per message of [messages]. The chain hash is the SHA-256 of the previous hash, the role and the content,
 * truncated to 32 hex digits; the token count covers all messages up to this one. Equal prefixes of two prompts have equal
 * hashes, so a hash identifies a prefix in the cache of every engine.
 *
 * ```kotlin
 * promptChain(listOf(Message("user", "hello"))).single().tokens   // 7
 * ```
 */
public fun promptChain(
    messages: List<Message>,
    bytesPerToken: Int = DEFAULT_BYTES_PER_TOKEN,
): List<PromptPrefix> = PromptChain.EMPTY.plus(messages, bytesPerToken)

/**
 * Estimated length of one message in tokens, for placement. Reservations use the upper bound [messageTokenBound] instead.
 */
public fun estimatedTokens(
    message: Message,
    bytesPerToken: Int = DEFAULT_BYTES_PER_TOKEN,
): Int = (utf8SizeBytes(message.content) + bytesPerToken - 1) / bytesPerToken + ESTIMATED_TEMPLATE_TOKENS

private const val ESTIMATED_TEMPLATE_TOKENS = 5

/**
 * Immutable list of prefixes, stored as chunks of packed longs at 24 bytes per message. Adding a message copies only the last
 * chunk, so it takes O(1) time.
 */
internal class PromptChain private constructor(
    private val fullChunks: PersistentList<LongArray>,
    private val lastChunk: LongArray,
    override val size: Int,
) : AbstractList<PromptPrefix>(),
    RandomAccess {
    val tokens: Int get() = if (size == 0) 0 else get(size - 1).tokens

    val lastHash: String get() = if (size == 0) "" else get(size - 1).chainHash

    override fun get(index: Int): PromptPrefix {
        if (index !in 0 until size) throw IndexOutOfBoundsException("index $index is out of bounds for a chain of $size messages")
        val chunkIndex = index / CHUNK_MESSAGES
        val chunk = if (chunkIndex < fullChunks.size) fullChunks[chunkIndex] else lastChunk
        val offset = index % CHUNK_MESSAGES * LONGS_PER_MESSAGE
        return PromptPrefix(Digest(chunk[offset], chunk[offset + 1]).hex(), chunk[offset + 2].toInt())
    }

    fun plus(
        messages: List<Message>,
        bytesPerToken: Int,
    ): PromptChain = messages.fold(this) { chain, message -> chain.plus(message, bytesPerToken) }

    private fun plus(
        message: Message,
        bytesPerToken: Int,
    ): PromptChain {
        val digest = digestOf(lastHash, message.role, message.content)
        val sum = tokens + estimatedTokens(message, bytesPerToken)
        val grown = lastChunk + longArrayOf(digest.high, digest.low, sum.toLong())
        return if (grown.size == CHUNK_MESSAGES * LONGS_PER_MESSAGE) {
            PromptChain(fullChunks.add(grown), LongArray(0), size + 1)
        } else {
            PromptChain(fullChunks, grown, size + 1)
        }
    }

    companion object {
        val EMPTY: PromptChain = PromptChain(persistentListOf(), LongArray(0), 0)
    }
}

/** Size of [text] in UTF-8, computed without encoding it. */
internal fun utf8SizeBytes(text: String): Int {
    var bytes = 0
    for (char in text) {
        bytes +=
            when {
                char.code < 0x80 -> 1
                char.code < 0x800 || char.isSurrogate() -> 2
                else -> 3
            }
    }
    return bytes
}
