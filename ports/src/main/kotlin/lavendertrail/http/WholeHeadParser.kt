package lavendertrail.http

import org.apache.hc.core5.http.ClassicHttpResponse
import org.apache.hc.core5.http.ConnectionClosedException
import org.apache.hc.core5.http.ProtocolException
import org.apache.hc.core5.http.io.HttpMessageParser
import org.apache.hc.core5.http.io.HttpMessageParserFactory
import org.apache.hc.core5.http.io.SessionInputBuffer
import org.apache.hc.core5.util.CharArrayBuffer
import java.io.InputStream

/**
 * Parsers of [base] that accept only whole heads with a valid status. The library takes the end of the connection for the end of the
 * head, so that a response that was cut off there would lose its length and count as whole. It accepts any positive status, and
 * reports others as a programming error.
 */
internal fun wholeHeadParsers(base: HttpMessageParserFactory<ClassicHttpResponse>) =
    HttpMessageParserFactory { config ->
        val parser = base.create(config)
        HttpMessageParser<ClassicHttpResponse> { buffer, input ->
            val checkedInput = EndRecordingStream(input)
            val response =
                try {
                    parser.parse(WholeLineBuffer(buffer, checkedInput), checkedInput)
                } catch (e: IllegalArgumentException) {
                    throw ProtocolException("invalid status", e)
                }
            if (response != null && response.code !in VALID_STATUS_CODES) throw ProtocolException("status ${response.code}")
            response
        }
    }

private val VALID_STATUS_CODES = 100..599

/** Records whether [input] has ended. */
private class EndRecordingStream(
    private val input: InputStream,
) : InputStream() {
    var hasEnded = false
        private set

    override fun read(): Int = input.read().also { hasEnded = it < 0 }

    override fun read(
        buffer: ByteArray,
        offset: Int,
        length: Int,
    ): Int = input.read(buffer, offset, length).also { hasEnded = it < 0 }
}

/** Fails on lines that end with [input], except for a connection that ended without any byte of a head. */
private class WholeLineBuffer(
    private val buffer: SessionInputBuffer,
    private val input: EndRecordingStream,
) : SessionInputBuffer by buffer {
    private var hasLines = false

    override fun readLine(
        line: CharArrayBuffer,
        inputStream: InputStream,
    ): Int {
        val length = buffer.readLine(line, inputStream)
        if (input.hasEnded && (hasLines || length >= 0)) throw ConnectionClosedException("the connection ended within the head")
        hasLines = true
        return length
    }
}
