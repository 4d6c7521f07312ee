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
 * Calls to hosts with disks by way of other entry hosts, for a process that is cut off from them. Which entry hosts there
 * are is learnt from the hosts with disks while they answer.
 */
internal class RelayedCalls(
    private val loop: EventLoopGroup,
) : AutoCloseable {
    private var addresses = emptyList<String>()
    private var relay: TurnPeer? = null
    private var failures = 0

    /** When each host last answered by way of a relay. */
    private val answeredAtMillis = mutableMapOf<String, Long>()

    val isPossible: Boolean get() = addresses.isNotEmpty()

    fun learn(relayAddresses: List<String>) {
        addresses = (relayAddresses + addresses).distinct().take(MAX_ADDRESSES)
    }

    /** Whether the host at [address] has answered lately. */
    fun reaches(address: String): Boolean = answeredAtMillis[address]?.let { nowMillis() - it < FRESH_MILLIS } ?: false

    fun <Q : Any, R : Any> call(
        address: String,
        method: MethodDescriptor<Q, R>,
        request: Q,
        limitMillis: Long,
        onResult: (Result<R, StepError>) -> Unit,
    ) {
        val name = method.bareMethodName.orEmpty()
        call(RelayRequest(address, name, method.streamRequest(request).readAllBytes()), limitMillis, MAX_TRIES) { result ->
            onResult(
                result.fold({ bytes ->
                    answeredAtMillis[address] = nowMillis()
                    Ok(method.parseResponse(ByteArrayInputStream(bytes)))
                }, { Err(it) }),
            )
        }
    }

    private fun call(
        request: RelayRequest,
        limitMillis: Long,
        triesLeft: Int,
        onResult: (Result<ByteArray, StepError>) -> Unit,
    ) {
        val used =
            current() ?: return onResult(Err(StepError("relay ${request.method}", request.hostAddress, "no other entry host is known")))
        val startedMillis = nowMillis()

        fun failed(error: StepError) {
            if (relay === used) next()
            val remainingMillis = limitMillis - (nowMillis() - startedMillis)
            if (triesLeft > 1 && remainingMillis > 0) call(request, remainingMillis, triesLeft - 1, onResult) else onResult(Err(error))
        }
        used.call(TurnMethods.relay, request, minOf(limitMillis, TRY_MILLIS)) { result ->
            result.fold({ reply ->
                val bytes = reply.reply
                if (bytes != null) onResult(Ok(bytes)) else failed(StepError("relay ${request.method}", used.address, "host not reached"))
            }, ::failed)
        }
    }

    private fun current(): TurnPeer? {
        relay?.let { return it }
        if (addresses.isEmpty()) return null
        return TurnPeer(addresses[failures % addresses.size], loop).also { relay = it }
    }

    private fun next() {
        failures++
        relay?.close()
        relay = null
    }

    override fun close() {
        relay?.close()
    }

    private companion object {
        const val MAX_ADDRESSES = 10

        /** Other entry hosts may be cut off as well. */
        const val MAX_TRIES = 3

        /** Above the limit of the relaying host's own call. */
        const val TRY_MILLIS = 700L

        /** Four probes. */
        const val FRESH_MILLIS = 1_000L
    }
}
