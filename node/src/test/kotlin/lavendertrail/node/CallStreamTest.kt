package lavendertrail.node

import lavendertrail.model.CallId
import lavendertrail.model.ProgramId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class CallStreamTest {
    private val call = CallId(ProgramId("dev-001-a"), 0)
    private val hub = StreamHub(maxBytesPerCall = 64)
    private val received = StringBuilder()

    /** Assembles the text as a caller does: a lower offset retracts the text after it. */
    private fun receive(
        offset: Long,
        text: String,
    ) {
        val retained = received.toString().toByteArray().decodeToString(0, offset.toInt())
        received.setLength(0)
        received.append(retained).append(text)
    }

    @Test
    fun `a late caller first gets the stored text from its own offset on`() {
        hub.beginAttempt(call, 1)
        hub.append(call, 1, "one ")
        hub.append(call, 1, "two ")
        val late = mutableListOf<Pair<Long, String>>()
        hub.attach(call, requestId = 7, fromByte = 4) { offset, text -> late += offset to text }
        hub.append(call, 1, "three")
        assertEquals(listOf(4L to "two ", 8L to "three"), late)
    }

    @Test
    fun `a second attempt with the same text delivers nothing twice`() {
        hub.beginAttempt(call, 1)
        hub.attach(call, 7, 0, ::receive)
        hub.append(call, 1, "the same ")
        hub.beginAttempt(call, 2)
        hub.append(call, 1, "late text of the first attempt")
        hub.append(call, 2, "the ")
        hub.append(call, 2, "same text")
        assertEquals("the same text", received.toString())
    }

    @Test
    fun `a second attempt with other text retracts what differs, at the start of a character`() {
        hub.beginAttempt(call, 1)
        hub.attach(call, 7, 0, ::receive)
        hub.append(call, 1, "señal é")
        hub.beginAttempt(call, 2)
        hub.append(call, 2, "señal è!")
        assertEquals("señal è!", received.toString())
    }

    @Test
    fun `the final text retracts what is not in it`() {
        hub.beginAttempt(call, 1)
        hub.attach(call, 7, 0, ::receive)
        hub.append(call, 1, "partial and wrong")
        hub.finish(call, "partial")
        assertEquals("partial", received.toString())
        assertEquals(0, hub.size)
    }

    @Test
    fun `text above the limit is not stored`() {
        hub.beginAttempt(call, 1)
        hub.attach(call, 7, 0, ::receive)
        hub.append(call, 1, "x".repeat(60))
        hub.append(call, 1, "y".repeat(60))
        assertEquals("x".repeat(60), received.toString())
    }

    @Test
    fun `callers cannot attach to a call that does not run here`() {
        assertFalse(hub.attach(call, 7, 0, ::receive))
    }
}
