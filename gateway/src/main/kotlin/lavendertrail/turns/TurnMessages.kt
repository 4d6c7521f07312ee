package lavendertrail.turns

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/*
 * Messages between entry hosts and hosts with disks. An answer's isComplete tells whether the host holds all that it should:
 * a host with a new disk keeps what it is sent, but what it lacks proves nothing until it has copied the others.
 */

@Serializable
internal data class KeepReply(
    val isKept: Boolean,
)

@Serializable
internal data class ChainRequest(
    val turnId: String,
)

/** [turns] from the newest to the oldest that the host has, as far as the chain is unbroken there. */
@Serializable
internal data class ChainReply(
    val turns: List<TurnRecord>,
    val isComplete: Boolean,
)

/** [uses] are the program's, packed by [packUses]; none in answer to a settled use, which asks nothing. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class UseReply(
    val isKept: Boolean,
    @ByteString val uses: ByteArray,
    val isComplete: Boolean,
    /** The server of the session's last turn, else of the program's. */
    val recentServerId: String? = null,
)

/** Asks for what the host keeps after position [after]. */
@Serializable
internal data class CopyRequest(
    val after: Long,
)

/** Turns by their ids, since the requester may have them from another host; uses in full, since they are small. */
@Serializable
internal class CopyPage(
    /** Positions hold while this stays the same. */
    val epoch: Long,
    val turnIds: List<String>,
    val uses: List<UseRecord>,
    val next: Long,
    val isLast: Boolean,
)

@Serializable
internal data class FetchRequest(
    val turnIds: List<String>,
)

/** Turns of the request from its beginning, as many as fit; those that are not kept any more are left out. */
@Serializable
internal class FetchReply(
    val turns: List<TurnRecord>,
    val handled: Int,
)

/** A turn or a use as it stands in the log: exactly one of the two. */
@Serializable
internal class StoredRecord(
    val turn: TurnRecord? = null,
    val use: UseRecord? = null,
) {
    val expiresAtEpochMillis: Long get() = turn?.expiresAtEpochMillis ?: use?.expiresAtEpochMillis ?: 0
}

/** A call to the host at [hostAddress], made by another entry host that it doesn't answer. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class RelayRequest(
    val hostAddress: String,
    val method: String,
    @ByteString val request: ByteArray,
)

/** [reply] is null where the relaying host doesn't reach the called one either. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class RelayReply(
    @ByteString val reply: ByteArray?,
)

/** An entry host tells the address at which it relays calls, and asks for those of others. */
@Serializable
internal data class MeetRequest(
    val relayAddress: String,
)

@Serializable
internal data class MeetReply(
    val relayAddresses: List<String>,
)

/** Records of a host that is being emptied. */
@Serializable
internal class OfferRequest(
    val records: List<StoredRecord>,
)
