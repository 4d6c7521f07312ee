package lavendertrail.standins

import lavendertrail.model.Message

private const val BYTES_PER_TOKEN = 4

/** Role and separators of a message. */
private const val TOKENS_PER_MESSAGE = 4

/** Tokens of a text for the stand-in engines: one for each 4 bytes of UTF-8, rounded up. */
public fun textTokens(text: String): Int = (text.utf8Bytes() + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN

/**
 * Tokens of one message in a prompt. Callers that reserve the bytes of a message plus [TOKENS_PER_MESSAGE] tokens never
 * reserve less than this.
 */
public fun messageTokens(message: Message): Int = textTokens(message.content) + TOKENS_PER_MESSAGE

public fun promptTokens(messages: List<Message>): Int = messages.sumOf(::messageTokens)

/** Length in UTF-8 without encoding: prompts have up to 3.5 MB. */
private fun String.utf8Bytes(): Int {
    var count = 0
    for (char in this) {
        count +=
            when {
                char.code < 0x80 -> 1
                char.code < 0x800 -> 2
                char.isSurrogate() -> 2
                else -> 3
            }
    }
    return count
}
