package lavendertrail.standins

import java.util.Random
import kotlin.math.exp
import kotlin.math.ln

/**
 * Generates the answer to a prompt. The text depends only on the prompt and the seed, not on the engine. Each token is one
 * word of three letters followed by a space, which makes 4 bytes.
 */
internal class AnswerText(
    promptHash: String,
    seed: Long,
) {
    private val hash = promptHash.hashCode().toLong() * 31 + promptHash.length + seed * 1_000_003

    /** Draws the answer length log-uniformly between [min] and [max], because answer lengths have a long tail. */
    fun sampleLength(
        min: Int,
        max: Int,
    ): Int {
        val quantile = Random(hash).nextDouble()
        return exp(ln(min.toDouble()) + quantile * (ln(max.toDouble()) - ln(min.toDouble()))).toInt()
    }

    /** The text of token [index]. */
    fun token(index: Int): String {
        var bits = mix64(hash + index * GOLDEN_GAMMA)
        val word = CharArray(WORD_CHARS + 1)
        for (i in 0 until WORD_CHARS) {
            word[i] = 'a' + ((bits and 0x7fff) % LETTERS).toInt()
            bits = bits ushr 15
        }
        word[WORD_CHARS] = ' '
        return String(word)
    }

    /** The finalizer of SplitMix64. */
    private fun mix64(value: Long): Long {
        var z = value
        z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
        z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
        return z xor (z ushr 31)
    }

    companion object {
        private const val WORD_CHARS = 3
        private const val LETTERS = 26
        private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
        private val LENGTH_MARKER = Regex("""\[answer-tokens=(\d{1,6})]""")

        /** The answer length that [message] requests by a marker such as `[answer-tokens=120]`, or null. */
        fun requestedLength(message: String): Int? {
            val start = message.lastIndexOf("[answer-tokens=")
            return if (start < 0) {
                null
            } else {
                LENGTH_MARKER
                    .find(message, start)
                    ?.groupValues
                    ?.get(1)
                    ?.toInt()
            }
        }
    }
}
