package lavendertrail.turns

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import lavendertrail.model.StepError
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against taking a turn host's reply that was cut off for one without the turn, which would prove that the turn doesn't exist. */
class CutReplyTest {
    private val turnHosts = TurnHostsFixture()

    @AfterTest
    fun close() = turnHosts.close()

    @Test
    fun `a reply that was cut off at any byte is an error`() {
        listOf("a1", "b1", "c1").forEach { turnHosts.start(it, isFirstStart = true) }
        turnHosts.awaitHosts("a1", "b1", "c1")
        assertTrue(turnHosts.save("t1"))
        TurnHostsFixture.awaitCondition("copy") { turnHosts.copiesOf("t1") >= 2 }
        val holder = turnHosts.listedHosts().first { turnsRead(readTurn(it.address)) == listOf("t1") }
        var bytes = 0
        var wholeReplies = 0
        while (wholeReplies == 0 && bytes < MAX_REPLY_BYTES) {
            CuttingProxy(holder.address, bytes).use { proxy ->
                val turns = turnsRead(readTurn(proxy.address))
                if (turns != null) {
                    wholeReplies++
                    assertEquals(listOf("t1"), turns, "$bytes bytes")
                }
            }
            bytes++
        }
        assertEquals(1, wholeReplies, "no whole reply within $bytes bytes")
    }

    /** The turns of [reply]; null if it is an error. */
    private fun turnsRead(reply: Result<ChainReply, StepError>): List<String>? = reply.fold({ it.turns.map { turn -> turn.id } }, { null })

    private fun readTurn(address: String): Result<ChainReply, StepError> {
        val result = CompletableFuture<Result<ChainReply, StepError>>()
        turnHosts.on(turnHosts.clientGroup) {
            val peer = TurnPeer(address, turnHosts.clientGroup)
            peer.call(TurnMethods.chain, ChainRequest("t1"), CALL_TIMEOUT_MILLIS) {
                result.complete(it)
                peer.close()
            }
        }
        return result.get(CALL_TIMEOUT_MILLIS * 2, TimeUnit.MILLISECONDS)
    }

    /** Forwards connections to [target], and closes each after [replyBytes] bytes of what the target sends. */
    private class CuttingProxy(
        private val target: String,
        private val replyBytes: Int,
    ) : AutoCloseable {
        private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
        val address = "127.0.0.1:${listener.localPort}"

        init {
            thread(isDaemon = true) {
                try {
                    while (true) listener.accept().use { caller -> forward(caller) }
                } catch (_: IOException) {
                    // The test has closed the proxy, or a side has left.
                }
            }
        }

        private fun forward(caller: Socket) {
            Socket("127.0.0.1", target.substringAfter(':').toInt()).use { host ->
                thread(isDaemon = true) { runCatching { caller.getInputStream().transferTo(host.getOutputStream()) } }
                repeat(replyBytes) {
                    val next = host.getInputStream().read()
                    if (next < 0) return
                    caller.getOutputStream().write(next)
                }
            }
        }

        override fun close() = listener.close()
    }

    private companion object {
        const val BACKLOG = 8
        const val CALL_TIMEOUT_MILLIS = 2_000L
        const val MAX_REPLY_BYTES = 5_000
    }
}
