package lavendertrail.gateway

/** One server-sent event: its bytes as received, and its `id` and `data` fields if present. */
internal class StreamEvent(
    val bytes: ByteArray,
    val id: String?,
    val data: String?,
)
