package lavendertrail.standins

import lavendertrail.model.Message

private const val BYTES_PER_TOKEN = 4

/** Overhead for the role and separators of a message. */
private const val TOKENS_PER_MESSAGE = 4

/** The token count of [text] on the stand-in engines: one token per 4 bytes of UTF-8, rounded up. */
public fun textTokens(text: String): Int = (text.utf8Bytes() + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN

/**
 * The token count of one message in a prompt. It never exceeds the message's size in bytes plus [TOKENS_PER_MESSAGE], which
 * is what callers reserve.
 */
public fun messageTokens(message: Message): Int = textTokens(message.content) + TOKENS_PER_MESSAGE

public fun promptTokens(messages: List<Message>): Int = messages.sumOf(::messageTokens)

/** Computes the UTF-8 length without encoding the text, because prompts have up to 3.5 MB. */
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
