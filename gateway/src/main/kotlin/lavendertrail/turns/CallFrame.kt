package lavendertrail.turns

import io.grpc.MethodDescriptor
import io.grpc.Status
import java.io.ByteArrayInputStream
import java.io.InputStream
import java.nio.BufferUnderflowException
import java.nio.ByteBuffer

/**
 * A request or its reply on a [TurnMethods.session] stream. A reply has the [callId] of its request, and [isFailed] is set if the
 * request was not handled.
 */
internal class CallFrame(
    val callId: Long,
    val method: String,
    val payload: ByteArray,
    val isFailed: Boolean = false,
)

/** Encodes a frame as call id, failure flag, length of the method name, method name, and payload up to the end of the message. */
internal object CallFrameMarshaller : MethodDescriptor.Marshaller<CallFrame> {
    override fun stream(value: CallFrame): InputStream {
        val method = value.method.toByteArray()
        val buffer = ByteBuffer.allocate(FIXED_BYTES + method.size + value.payload.size)
        buffer.putLong(value.callId).put(if (value.isFailed) 1 else 0).put(method.size.toByte())
        buffer.put(method).put(value.payload)
        return ByteArrayInputStream(buffer.array())
    }

    override fun parse(stream: InputStream): CallFrame =
        try {
            val buffer = ByteBuffer.wrap(stream.readAllBytes())
            val callId = buffer.getLong()
            val isFailed = buffer.get() != 0.toByte()
            val method = ByteArray(buffer.get().toInt() and 0xFF).also { buffer.get(it) }
            val payload = ByteArray(buffer.remaining()).also { buffer.get(it) }
            CallFrame(callId, String(method), payload, isFailed)
        } catch (e: BufferUnderflowException) {
            throw Status.INVALID_ARGUMENT
                .withDescription("truncated call frame")
                .withCause(e)
                .asRuntimeException()
        }

    private const val FIXED_BYTES = 10
}
