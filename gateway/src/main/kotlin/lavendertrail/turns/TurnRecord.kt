package lavendertrail.turns

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * A finished, immutable turn: the new input of the caller and the output that the caller received. [previousId] is the turn
 * that it continues, or null for the first turn of a chain.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class TurnRecord(
    public val id: String,
    public val programId: String,
    public val previousId: String?,
    @ByteString public val input: ByteArray,
    @ByteString public val output: ByteArray,
    /** Wall-clock time until which the turn can be continued. */
    public val expiresAtEpochMillis: Long,
) {
    public val sizeBytes: Int get() = input.size + output.size
}
