package lavendertrail.peer

import io.grpc.MethodDescriptor
import io.grpc.Status
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import lavendertrail.journal.JournalAnswer
import lavendertrail.journal.JournalAppend
import lavendertrail.journal.JournalPage
import lavendertrail.journal.JournalRead
import lavendertrail.journal.JournalReclaim
import lavendertrail.journal.JournalSeal
import lavendertrail.membership.ProbeMessage
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import java.io.ByteArrayInputStream
import java.io.InputStream

internal const val SERVICE_NAME = "lavendertrail.Peer"

@Serializable
internal data class ConfigRequest(
    val afterRevision: Long,
)

@Serializable
internal data class HandoverRequest(
    val from: NodeId,
    val partitions: List<PartitionId>,
)

@Serializable
internal class Empty

@Serializable
internal data class DumpReply(
    val json: String,
)

/** Descriptors of the gRPC methods between nodes. Messages are encoded as CBOR and counted in [traffic]. */
@OptIn(ExperimentalSerializationApi::class)
internal class PeerMethods(
    private val traffic: PeerTraffic,
) {
    // Unknown keys are ignored, so that nodes of adjacent versions can communicate during a rolling upgrade.
    private val cbor = Cbor { ignoreUnknownKeys = true }

    val probe = unary("Probe", ProbeMessage.serializer(), ProbeMessage.serializer())
    val submit = method("Submit", SubmitRequest.serializer(), SubmitReply.serializer(), MethodDescriptor.MethodType.SERVER_STREAMING)
    val appendJournal = unary("JournalAppend", JournalAppend.serializer(), JournalAnswer.serializer())
    val sealJournal = unary("JournalSeal", JournalSeal.serializer(), JournalAnswer.serializer())
    val readJournal = unary("JournalRead", JournalRead.serializer(), JournalPage.serializer())
    val reclaimJournal = unary("JournalReclaim", JournalReclaim.serializer(), JournalAnswer.serializer())
    val fetchConfig = unary("ConfigFetch", ConfigRequest.serializer(), ConfigPage.serializer())
    val offerHandover = unary("Handover", HandoverRequest.serializer(), Empty.serializer())
    val dump = unary("Dump", Empty.serializer(), DumpReply.serializer())

    private fun <Q : Any, R : Any> unary(
        name: String,
        request: KSerializer<Q>,
        reply: KSerializer<R>,
    ) = method(name, request, reply, MethodDescriptor.MethodType.UNARY)

    private fun <Q : Any, R : Any> method(
        name: String,
        request: KSerializer<Q>,
        reply: KSerializer<R>,
        type: MethodDescriptor.MethodType,
    ): MethodDescriptor<Q, R> {
        val counter = traffic.counter(name)
        return MethodDescriptor
            .newBuilder(marshaller(request, counter), marshaller(reply, counter))
            .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE_NAME, name))
            .setType(type)
            .build()
    }

    private fun <T : Any> marshaller(
        serializer: KSerializer<T>,
        counter: PeerTraffic.Counter,
    ) = object : MethodDescriptor.Marshaller<T> {
        override fun stream(value: T): InputStream {
            val bytes = cbor.encodeToByteArray(serializer, value)
            counter.addSent(bytes.size)
            return ByteArrayInputStream(bytes)
        }

        override fun parse(stream: InputStream): T {
            val bytes = stream.readAllBytes()
            counter.addReceived(bytes.size)
            try {
                return cbor.decodeFromByteArray(serializer, bytes)
            } catch (e: SerializationException) {
                throw malformedMessage(e)
            } catch (e: IllegalArgumentException) {
                throw malformedMessage(e)
            }
        }
    }

    private fun malformedMessage(cause: Exception) =
        Status.INVALID_ARGUMENT
            .withDescription("malformed message: ${cause.message}")
            .withCause(cause)
            .asRuntimeException()
}
