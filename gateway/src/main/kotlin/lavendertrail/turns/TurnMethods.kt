package lavendertrail.turns

import io.grpc.MethodDescriptor
import io.grpc.Status
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.io.ByteArrayInputStream
import java.io.InputStream

internal const val TURN_SERVICE_NAME = "lavendertrail.Turns"

// Unknown keys are ignored, so that nodes of neighbouring versions understand each other during an upgrade.
@OptIn(ExperimentalSerializationApi::class)
internal val turnCbor = Cbor { ignoreUnknownKeys = true }

/** The gRPC methods between entry hosts and hosts with disks, with CBOR messages. */
internal object TurnMethods {
    val keep = unary("Keep", TurnRecord.serializer(), KeepReply.serializer())
    val chain = unary("Chain", ChainRequest.serializer(), ChainReply.serializer())
    val use = unary("Use", UseRecord.serializer(), UseReply.serializer())
    val fetch = unary("Fetch", FetchRequest.serializer(), FetchReply.serializer())
    val offer = unary("Offer", OfferRequest.serializer(), KeepReply.serializer())
    val meet = unary("Meet", MeetRequest.serializer(), MeetReply.serializer())
    val relay = unary("Relay", RelayRequest.serializer(), RelayReply.serializer())
    val copy = unary("Copy", CopyRequest.serializer(), CopyPage.serializer())

    /** The methods that entry hosts call for each other, by name, with messages that are passed on as they are. */
    val relayed: Map<String, MethodDescriptor<ByteArray, ByteArray>> =
        listOf(keep, chain, use).associate {
            it.bareMethodName.orEmpty() to
                method(it.bareMethodName.orEmpty(), EncodedMessage, EncodedMessage)
        }

    private fun <Q : Any, R : Any> unary(
        name: String,
        request: KSerializer<Q>,
        reply: KSerializer<R>,
    ): MethodDescriptor<Q, R> = method(name, marshaller(request), marshaller(reply))

    private fun <Q : Any, R : Any> method(
        name: String,
        request: MethodDescriptor.Marshaller<Q>,
        reply: MethodDescriptor.Marshaller<R>,
    ): MethodDescriptor<Q, R> =
        MethodDescriptor
            .newBuilder(request, reply)
            .setFullMethodName(MethodDescriptor.generateFullMethodName(TURN_SERVICE_NAME, name))
            .setType(MethodDescriptor.MethodType.UNARY)
            .build()

    private object EncodedMessage : MethodDescriptor.Marshaller<ByteArray> {
        override fun stream(value: ByteArray): InputStream = ByteArrayInputStream(value)

        override fun parse(stream: InputStream): ByteArray = stream.readAllBytes()
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun <T : Any> marshaller(serializer: KSerializer<T>) =
        object : MethodDescriptor.Marshaller<T> {
            override fun stream(value: T): InputStream = ByteArrayInputStream(turnCbor.encodeToByteArray(serializer, value))

            override fun parse(stream: InputStream): T =
                try {
                    turnCbor.decodeFromByteArray(serializer, stream.readAllBytes())
                } catch (e: SerializationException) {
                    throw Status.INVALID_ARGUMENT
                        .withDescription("malformed message: ${e.message}")
                        .withCause(e)
                        .asRuntimeException()
                }
        }
}
