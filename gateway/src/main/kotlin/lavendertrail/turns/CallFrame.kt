package lavendertrail.turns

import io.grpc.MethodDescriptor
import io.grpc.Status
import java.io.ByteArrayInputStream
import java.io.InputStream
import java.nio.BufferUnderflowException
import java.nio.ByteBuffer

/** A request or its reply on a [TurnMethods.session] stream. A reply has the [callId] of its request. */
internal class CallFrame(
    val callId: Long,
    val method: String,
    val payload: ByteArray,
    val outcome: CallOutcome = CallOutcome.HANDLED,
    /** The revision of the list of turn hosts by which a request was sent; 0 if it doesn't depend on a list. */
    val listRevision: Long = 0,
)

/** What became of a request. The order is that of the codes on the wire. */
internal enum class CallOutcome {
    HANDLED,
    FAILED,

    /** The host knows a newer list of turn hosts than the request was sent by; the payload is that list. */
    NEWER_LIST,
}

/** Encodes a frame as call id, outcome, list revision, length of the method name, method name, and payload up to the end. */
internal object CallFrameMarshaller : MethodDescriptor.Marshaller<CallFrame> {
    override fun stream(value: CallFrame): InputStream {
        val method = value.method.toByteArray()
        val buffer = ByteBuffer.allocate(FIXED_BYTES + method.size + value.payload.size)
        buffer.putLong(value.callId).put(value.outcome.ordinal.toByte()).putLong(value.listRevision)
        buffer.put(method.size.toByte())
        buffer.put(method).put(value.payload)
        return ByteArrayInputStream(buffer.array())
    }

    override fun parse(stream: InputStream): CallFrame =
        try {
            val buffer = ByteBuffer.wrap(stream.readAllBytes())
            val callId = buffer.getLong()
            val outcome = CallOutcome.entries.getOrElse(buffer.get().toInt()) { CallOutcome.FAILED }
            val listRevision = buffer.getLong()
            val method = ByteArray(buffer.get().toInt() and 0xFF).also { buffer.get(it) }
            val payload = ByteArray(buffer.remaining()).also { buffer.get(it) }
            CallFrame(callId, String(method), payload, outcome, listRevision)
        } catch (e: BufferUnderflowException) {
            throw Status.INVALID_ARGUMENT
                .withDescription("truncated call frame")
                .withCause(e)
                .asRuntimeException()
        }

    private const val FIXED_BYTES = 18
}
