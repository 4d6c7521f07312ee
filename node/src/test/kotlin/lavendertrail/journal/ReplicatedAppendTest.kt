package lavendertrail.journal

import lavendertrail.peer.FakePeerService
import lavendertrail.peer.peerClient
import lavendertrail.peer.peerServer
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.system.measureNanoTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val APPENDS = 1_000

/** Integration test of the replicator, gRPC and file stores. */
internal class ReplicatedAppendTest {
    @TempDir
    lateinit var folder: Path

    /** Guards against components that only work with fakes of each other, and against appends that wait for a flush or a timer. */
    @Test
    fun `appends reach the files of two nodes in less than 20 ms in the median`() {
        val stores = listOf(nodeA, nodeB).associateWith { fileJournalStore(folder.resolve(it.value)) }
        val servers = stores.mapValues { (_, store) -> peerServer("127.0.0.1", 0, FakePeerService(store)) }
        val clients = servers.mapValues { (_, server) -> peerClient("127.0.0.1:${server.port}") }
        Owner { clients[it] }.use { owner ->
            owner.recoverOrThrow(1, emptyList(), listOf(nodeA, nodeB))
            val nanos =
                List(APPENDS) { id ->
                    measureNanoTime {
                        owner.append(1, id.toLong(), "r$id")
                        while (owner.events.size < id + 2) Thread.onSpinWait()
                    }
                }.drop(APPENDS / 2).sorted()
            println(
                "append to two copies: ${nanos[nanos.size / 2] / 1_000} µs in the median, ${nanos[nanos.size * 99 / 100] / 1_000} µs at the 99th percentile",
            )
            assertTrue(nanos[nanos.size / 2] < 20_000_000, "median ${nanos[nanos.size / 2]} ns")
        }
        clients.values.forEach { it.close() }
        servers.values.forEach { it.close() }
        stores.values.forEach { store ->
            assertEquals((0 until APPENDS).map { record("r$it") }, store.readAll(maxBytes = 100_000).map { it.record })
            store.close()
        }
    }
}
