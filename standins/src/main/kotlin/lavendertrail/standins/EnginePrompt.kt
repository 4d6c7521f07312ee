package lavendertrail.standins

import lavendertrail.history.sha256Hex
import lavendertrail.model.Message
import lavendertrail.ports.GenerateRequest

/** What an engine stores of a prompt: the chain hash and token count of each message, and a fingerprint of each answer text. */
internal class EnginePrompt(
    val chainHashes: List<String>,
    val tokens: IntArray,
    private val answerFingerprints: LongArray,
    val isPoison: Boolean,
    val requestedTokens: Int?,
) {
    val totalTokens: Int = tokens.sum()

    val prefixes: List<CachedPrefix> get() = chainHashes.mapIndexed { index, hash -> CachedPrefix(hash, tokens[index]) }

    /** The fingerprint of message [index] if it is an assistant message, else null. */
    fun answerFingerprint(index: Int): Long? = answerFingerprints[index].takeIf { it != NO_FINGERPRINT }

    companion object {
        private const val NO_FINGERPRINT = 0L

        fun of(
            request: GenerateRequest,
            poisonMarker: String,
        ): EnginePrompt {
            val messages = request.messages
            val requestHashes = request.chainHashes
            return EnginePrompt(
                chainHashes = if (requestHashes.size == messages.size) requestHashes else computeChainHashes(messages),
                tokens = IntArray(messages.size) { messageTokens(messages[it]) },
                answerFingerprints =
                    LongArray(messages.size) {
                        if (messages[it].role == "assistant") fingerprintOf(messages[it].content) else NO_FINGERPRINT
                    },
                isPoison = messages.any { poisonMarker in it.content },
                requestedTokens = messages.lastOrNull()?.let { AnswerText.requestedLength(it.content) },
            )
        }

        /** Length and 32-bit hash of [text], sufficient to distinguish answers to the same prompt in the cache. */
        fun fingerprintOf(text: String): Long = (text.length.toLong() shl Int.SIZE_BITS) or (text.hashCode().toLong() and 0xffff_ffffL)

        private fun computeChainHashes(messages: List<Message>): List<String> =
            messages.runningFold("") { previous, message -> sha256Hex("$previous\n${message.role}\n${message.content}") }.drop(1)
    }
}
