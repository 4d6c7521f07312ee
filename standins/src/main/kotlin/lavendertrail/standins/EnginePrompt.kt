package lavendertrail.standins

import lavendertrail.history.sha256Hex
import lavendertrail.model.Message
import lavendertrail.ports.GenerateRequest

/** What an engine keeps of a prompt: per message its chain hash, its tokens and, for an answer, a mark of its text. */
internal class EnginePrompt(
    val chainHashes: List<String>,
    val tokens: IntArray,
    private val answerMarks: LongArray,
    val isPoison: Boolean,
    val requestedTokens: Int?,
) {
    val totalTokens: Int = tokens.sum()

    val prefixes: List<CachedPrefix> get() = chainHashes.mapIndexed { index, hash -> CachedPrefix(hash, tokens[index]) }

    /** Mark of message [index] where it is an assistant's message, else null. */
    fun answerMark(index: Int): Long? = answerMarks[index].takeIf { it != NO_MARK }

    companion object {
        private const val NO_MARK = 0L

        fun of(
            request: GenerateRequest,
            poisonMarker: String,
        ): EnginePrompt {
            val messages = request.messages
            val given = request.chainHashes
            return EnginePrompt(
                chainHashes = if (given.size == messages.size) given else computedChain(messages),
                tokens = IntArray(messages.size) { messageTokens(messages[it]) },
                answerMarks = LongArray(messages.size) { if (messages[it].role == "assistant") markOf(messages[it].content) else NO_MARK },
                isPoison = messages.any { poisonMarker in it.content },
                requestedTokens = messages.lastOrNull()?.let { AnswerText.requestedLength(it.content) },
            )
        }

        /** Tells two answers to the same prompt apart well enough for a cache. */
        fun markOf(text: String): Long = (text.length.toLong() shl Int.SIZE_BITS) or (text.hashCode().toLong() and 0xffff_ffffL)

        private fun computedChain(messages: List<Message>): List<String> =
            messages.runningFold("") { previous, message -> sha256Hex("$previous\n${message.role}\n${message.content}") }.drop(1)
    }
}
