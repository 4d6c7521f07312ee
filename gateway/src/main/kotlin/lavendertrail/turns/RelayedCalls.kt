package lavendertrail.turns

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.grpc.MethodDescriptor
import io.netty.channel.EventLoopGroup
import lavendertrail.gateway.nowMillis
import lavendertrail.model.StepError
import java.io.ByteArrayInputStream

/**
 * Calls turn hosts through other entry hosts, for a process that can't reach the turn hosts directly. The relay addresses of
 * other entry hosts are obtained from the turn hosts while these respond.
 */
internal class RelayedCalls(
    private val loop: EventLoopGroup,
    private val onNewerList: (TurnHostListing) -> Unit,
) : AutoCloseable {
    private var addresses = emptyList<String>()
    private var currentRelay: TurnPeer? = null
    private var failures = 0

    /** Time of the last relayed reply, by host address. */
    private val lastReplyMillis = mutableMapOf<String, Long>()

    val hasRelayAddresses: Boolean get() = addresses.isNotEmpty()

    fun addRelayAddresses(relayAddresses: List<String>) {
        addresses = (relayAddresses + addresses).distinct().take(MAX_ADDRESSES)
    }

    /** Whether the host at [address] has replied through a relay within [REPLY_VALIDITY_MILLIS]. */
    fun hasRecentReply(address: String): Boolean = lastReplyMillis[address]?.let { nowMillis() - it < REPLY_VALIDITY_MILLIS } ?: false

    fun <Q : Any, R : Any> call(
        address: String,
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long,
        listRevision: Long,
        onResult: (Result<R, StepError>) -> Unit,
    ) {
        val name = method.bareMethodName.orEmpty()
        call(
            RelayRequest(address, name, method.streamRequest(request).readAllBytes(), listRevision),
            timeoutMillis,
            MAX_ATTEMPTS,
        ) { result ->
            onResult(
                result.fold({ bytes ->
                    lastReplyMillis[address] = nowMillis()
                    Ok(method.parseResponse(ByteArrayInputStream(bytes)))
                }, { Err(it) }),
            )
        }
    }

    private fun call(
        request: RelayRequest,
        timeoutMillis: Long,
        attemptsLeft: Int,
        onResult: (Result<ByteArray, StepError>) -> Unit,
    ) {
        val relay =
            selectRelay() ?: return onResult(Err(StepError("relay ${request.method}", request.hostAddress, "no other entry host is known")))
        val startedMillis = nowMillis()

        fun retryOrFail(error: StepError) {
            if (currentRelay === relay) switchRelay()
            val remainingMillis = timeoutMillis - (nowMillis() - startedMillis)
            if (attemptsLeft > 1 && remainingMillis > 0) {
                call(request, remainingMillis, attemptsLeft - 1, onResult)
            } else {
                onResult(Err(error))
            }
        }
        relay.call(TurnMethods.relay, request, minOf(timeoutMillis, ATTEMPT_TIMEOUT_MILLIS)) { result ->
            result.fold({ reply ->
                val bytes = reply.reply
                val newerList = reply.newerList?.let(::decodeListing)
                when {
                    bytes != null -> onResult(Ok(bytes))
                    newerList != null -> {
                        onNewerList(newerList)
                        onResult(Err(StepError("relay ${request.method}", request.hostAddress, "the host has a newer list of turn hosts")))
                    }
                    else -> retryOrFail(StepError("relay ${request.method}", relay.address, "host not reached"))
                }
            }, ::retryOrFail)
        }
    }

    private fun selectRelay(): TurnPeer? {
        currentRelay?.let { return it }
        if (addresses.isEmpty()) return null
        return TurnPeer(addresses[failures % addresses.size], loop).also { currentRelay = it }
    }

    private fun switchRelay() {
        failures++
        currentRelay?.close()
        currentRelay = null
    }

    override fun close() {
        currentRelay?.close()
    }

    private companion object {
        const val MAX_ADDRESSES = 10

        /** Several attempts, since other entry hosts may be cut off from the turn hosts as well. */
        const val MAX_ATTEMPTS = 3

        /** Longer than the timeout of the relaying host's own call. */
        const val ATTEMPT_TIMEOUT_MILLIS = 700L

        /** Four probe intervals. */
        const val REPLY_VALIDITY_MILLIS = 1_000L
    }
}
