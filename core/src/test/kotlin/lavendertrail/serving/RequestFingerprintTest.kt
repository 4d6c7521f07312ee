package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a request that isn't recognized when it comes again, and against taking another request for it. */
class RequestFingerprintTest {
    private val request = CallerRequest("r1", "POST", "desk.example", "/orders/x?of=1", affinityKey = "k")
    private val body = "body".toByteArray()

    @Test
    fun `the same request with a new attempt id and deadline has the same fingerprint`() {
        val again = request.copy(attemptId = "r2", deadlineMillis = 700, resumeAfterEventId = "3")
        assertEquals(requestFingerprint(request, body), requestFingerprint(again, body.copyOf()))
    }

    @Test
    fun `the same request of another session or program has the same fingerprint and another sender`() {
        val others = listOf(request.copy(affinityKey = null, sessionId = "s"), request.copy(affinityKey = null, programId = "p"))
        assertEquals(setOf(requestFingerprint(request, body)), others.mapTo(mutableSetOf()) { requestFingerprint(it, body) })
        assertEquals(3, (others + request).mapTo(mutableSetOf()) { it.senderId }.size)
    }

    @Test
    fun `requests that differ in method, host, target or body have different fingerprints`() {
        val others =
            listOf(
                request.copy(method = "PUT"),
                request.copy(host = "mail.example"),
                request.copy(target = "/orders/x?of=2"),
            )
        val fingerprints = (others + request).map { requestFingerprint(it, body) } + requestFingerprint(request, "bodx".toByteArray())
        assertEquals(others.size + 2, fingerprints.toSet().size)
    }
}
