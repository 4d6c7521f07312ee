package lavendertrail.standins

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Guards against giving two servers of a test the same port. This happened when ports were bound and released one at a time. */
class FreePortsTest {
    @Test
    fun `ports are distinct and free`() {
        val ports = freePorts(200)
        assertEquals(200, ports.toSet().size)
        ports.map { ServerSocket(it, 1, InetAddress.getLoopbackAddress()) }.forEach { it.close() }
    }

    @Test
    fun `a port in use is not returned`() {
        val used = freePorts(50).map { ServerSocket(it, 1, InetAddress.getLoopbackAddress()) }
        val drawn = freePorts(500).toSet()
        used.forEach { assertFalse(it.localPort in drawn) }
        used.forEach { it.close() }
    }
}
