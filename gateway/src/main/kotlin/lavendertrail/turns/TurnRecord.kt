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
    /** Wall-clock time until which the turn is kept, as one that can be continued or as part of the chain of such a turn. */
    public val expiresAtEpochMillis: Long,
) {
    public val sizeBytes: Int get() = input.size + output.size

    internal fun extendedTo(expiresAtEpochMillis: Long) = TurnRecord(id, programId, previousId, input, output, expiresAtEpochMillis)
}

/** When a turn that ends at [nowEpochMillis] expires, given that it can be continued for [retentionMillis]. */
internal fun turnExpiry(
    nowEpochMillis: Long,
    retentionMillis: Long,
): Long = nowEpochMillis + retentionMillis + retentionMillis / CHAIN_RENEWAL_DIVISOR

/**
 * Turns are kept longer than they can be continued by this part of the retention, so that the earlier turns of a chain are stored
 * again at most once in that time.
 */
private const val CHAIN_RENEWAL_DIVISOR = 2

/**
 * The records to store for [turn], which continues this chain: the turns that expire before [neededUntilEpochMillis], extended to
 * the time of [turn], and [turn] itself.
 */
internal fun List<TurnRecord>.withExtended(
    turn: TurnRecord,
    neededUntilEpochMillis: Long,
): List<TurnRecord> = filter { it.expiresAtEpochMillis < neededUntilEpochMillis }.map { it.extendedTo(turn.expiresAtEpochMillis) } + turn
