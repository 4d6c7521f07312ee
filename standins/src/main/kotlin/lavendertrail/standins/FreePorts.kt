package lavendertrail.standins

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Returns [count] distinct loopback ports on which nothing listens. They are below the ephemeral port range, so that no
 * outgoing connection takes one of them between this call and the start or restart of a server.
 */
public fun freePorts(count: Int): List<Int> {
    val ports = LinkedHashSet<Int>()
    while (ports.size < count) {
        val port = Random.nextInt(LOWEST_PORT, HIGHEST_PORT)
        if (port !in ports && isFree(port)) ports += port
    }
    return ports.toList()
}

private fun isFree(port: Int): Boolean =
    try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (_: IOException) {
        // The port is in use.
        false
    }

private const val LOWEST_PORT = 15_000
private const val HIGHEST_PORT = 30_000
