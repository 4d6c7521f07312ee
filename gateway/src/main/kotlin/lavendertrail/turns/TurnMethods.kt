package lavendertrail.turns

import io.grpc.MethodDescriptor
import io.grpc.Status
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import lavendertrail.serving.QuotaQuestion
import java.io.ByteArrayInputStream
import java.io.InputStream

internal const val TURN_SERVICE_NAME = "lavendertrail.Turns"

// Unknown keys are ignored, so that processes of adjacent versions can communicate during an upgrade.
@OptIn(ExperimentalSerializationApi::class)
internal val turnCbor = Cbor { ignoreUnknownKeys = true }

/**
 * The calls between entry hosts and turn hosts, with CBOR messages. All calls to a host share one [session] stream, because the
 * headers and trailers of a gRPC call of its own cost several times as much processor time as the messages.
 */
internal object TurnMethods {
    val session: MethodDescriptor<CallFrame, CallFrame> =
        method("Session", CallFrameMarshaller, CallFrameMarshaller, MethodDescriptor.MethodType.BIDI_STREAMING)
    val keep = unary("Keep", TurnRecord.serializer(), KeepReply.serializer())
    val chain = unary("Chain", ChainRequest.serializer(), ChainReply.serializer())
    val use = unary("Use", UseRequest.serializer(), UseReply.serializer())
    val fetch = unary("Fetch", FetchRequest.serializer(), FetchReply.serializer())
    val listState = unary("ListState", ListStateRequest.serializer(), ListStateReply.serializer())
    val missing = unary("Missing", MissingRequest.serializer(), MissingReply.serializer())
    val offer = unary("Offer", OfferRequest.serializer(), KeepReply.serializer())
    val meet = unary("Meet", MeetRequest.serializer(), MeetReply.serializer())
    val relay = unary("Relay", RelayRequest.serializer(), RelayReply.serializer())
    val keepOrigin = unary("KeepOrigin", OriginRecord.serializer(), KeepReply.serializer())
    val findOrigin = unary("FindOrigin", OriginRequest.serializer(), OriginReply.serializer())
    val keepUnfinished = unary("KeepUnfinished", TurnRecord.serializer(), KeepReply.serializer())
    val findStreamTurns = unary("FindStreamTurns", StreamTurnsRequest.serializer(), StreamTurnsReply.serializer())
    val permit = unary("Permit", PermitRequest.serializer(), PermitReply.serializer())
    val quota = unary("Quota", QuotaQuestion.serializer(), QuotaReply.serializer())
    val crashNotice = unary("CrashNotice", CrashNotice.serializer(), KeepReply.serializer())
    val copy = unary("Copy", CopyRequest.serializer(), CopyPage.serializer())

    /** Methods that entry hosts relay for each other, by bare name, with messages forwarded in encoded form. */
    val relayable: Map<String, MethodDescriptor<ByteArray, ByteArray>> =
        listOf(keep, chain, use, permit, quota, keepOrigin, findOrigin, keepUnfinished, findStreamTurns).associate {
            it.bareMethodName.orEmpty() to
                method(it.bareMethodName.orEmpty(), ByteArrayMarshaller, ByteArrayMarshaller)
        }

    private fun <Q : Any, R : Any> unary(
        name: String,
        request: KSerializer<Q>,
        reply: KSerializer<R>,
    ): MethodDescriptor<Q, R> = method(name, cborMarshaller(request), cborMarshaller(reply))

    private fun <Q : Any, R : Any> method(
        name: String,
        request: MethodDescriptor.Marshaller<Q>,
        reply: MethodDescriptor.Marshaller<R>,
        type: MethodDescriptor.MethodType = MethodDescriptor.MethodType.UNARY,
    ): MethodDescriptor<Q, R> =
        MethodDescriptor
            .newBuilder(request, reply)
            .setFullMethodName(MethodDescriptor.generateFullMethodName(TURN_SERVICE_NAME, name))
            .setType(type)
            .build()

    private object ByteArrayMarshaller : MethodDescriptor.Marshaller<ByteArray> {
        override fun stream(value: ByteArray): InputStream = ByteArrayInputStream(value)

        override fun parse(stream: InputStream): ByteArray = stream.readAllBytes()
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun <T : Any> cborMarshaller(serializer: KSerializer<T>) =
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
