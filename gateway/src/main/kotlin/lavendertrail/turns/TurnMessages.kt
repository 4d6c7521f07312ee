package lavendertrail.turns

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import lavendertrail.serving.CrashEvidence
import lavendertrail.serving.PermitCandidate
import lavendertrail.serving.PermitDecision
import lavendertrail.serving.QuotaDecision
import lavendertrail.serving.StatedLimit
import lavendertrail.serving.StreamOrigin

/*
 * Messages between entry hosts and turn hosts. isComplete in a reply tells whether the host has all records that it should have:
 * a host with a new disk stores what it receives, but a record missing there proves nothing until it has copied the other hosts.
 */

@Serializable
internal data class KeepReply(
    val isKept: Boolean,
)

@Serializable
internal data class ChainRequest(
    val turnId: String,
)

/** The part of the chain that the host has without gaps: [turns] from the requested one back, newest first. */
@Serializable
internal data class ChainReply(
    val turns: List<TurnRecord>,
    val isComplete: Boolean,
)

/** Uses of one program: settlements of finished attempts, and the reservation of a new one, if any. */
@Serializable
internal class UseRequest(
    val reservation: UseRecord?,
    val settlements: List<UseRecord> = emptyList(),
)

/** [uses] are those of the program, packed by [packUses]; empty in the reply to a request without a reservation. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class UseReply(
    val isKept: Boolean,
    @ByteString val uses: ByteArray,
    val isComplete: Boolean,
    /** The server of the session's last turn, or of the program's last turn if the session has none. */
    val recentServerId: String? = null,
    /** Uses of the program that expire much earlier than the reservation, and must be stored again while the program runs. */
    val expiringUses: List<UseRecord> = emptyList(),
    /** Limits of servers that the host knows; empty in the reply to a request without a reservation. */
    val requestLimits: List<StatedLimit> = emptyList(),
)

/** Requests the origin of the stream whose first event the caller's attempt [attemptId] received. */
@Serializable
internal data class OriginRequest(
    val attemptId: String,
)

@Serializable
internal data class OriginReply(
    val origin: StreamOrigin?,
    val isComplete: Boolean,
)

/** Requests what is known of the stream that the attempt [streamId] began, up to the event [lastEventId]. */
@Serializable
internal data class StreamTurnsRequest(
    val streamId: String,
    val lastEventId: String,
)

/** [turns], finished or not, have their output up to the requested event; those that differ in nothing else are listed once. */
@Serializable
internal data class StreamTurnsReply(
    val turns: List<TurnRecord>,
    val isComplete: Boolean,
)

/**
 * Reports the limits of servers in [limits] and what may crash them in [crashEvidence], and requests a permit for one of [candidates],
 * if there are any.
 */
@Serializable
internal data class PermitRequest(
    val candidates: List<PermitCandidate>,
    val maxWaitMillis: Long = 0,
    val limits: List<StatedLimit> = emptyList(),
    val crashEvidence: List<CrashEvidence> = emptyList(),
)

/** [decision] is null if another host may decide for the account at present. */
@Serializable
internal data class QuotaReply(
    val decision: QuotaDecision?,
    val entryHostCount: Int,
)

/** What entry hosts have just reported about requests that may crash servers; sent without a request. */
@Serializable
internal data class CrashNotice(
    val evidence: List<CrashEvidence>,
)

/** [entryHostCount] is the number of entry hosts that have called the host lately. */
@Serializable
internal data class PermitReply(
    val decision: PermitDecision,
    val entryHostCount: Int,
)

/** Requests the records of the host from position [after] on. */
@Serializable
internal data class CopyRequest(
    /** Position of the first requested record (inclusive). */
    val after: Long,
)

/**
 * Lists turns by id, since the requester may have them from another host, and the other records in full: uses and origins are small,
 * and unfinished turns few.
 */
@Serializable
internal class CopyPage(
    /** Positions are valid only within the same epoch. */
    val epoch: Long,
    val turnIds: List<String>,
    val uses: List<UseRecord>,
    val next: Long,
    val isLast: Boolean,
    val origins: List<OriginRecord> = emptyList(),
    /** The times until which the turns of [turnIds] are kept. */
    val turnExpiriesEpochMillis: List<Long> = emptyList(),
    val unfinishedTurns: List<TurnRecord> = emptyList(),
)

@Serializable
internal data class FetchRequest(
    val turnIds: List<String>,
)

/** [turns] for the first [handled] ids of the request, as many as fit in a page, without those that have expired. */
@Serializable
internal class FetchReply(
    val turns: List<TurnRecord>,
    val handled: Int,
)

/** A record of the turn log: exactly one of a turn, a use, the origin of a stream and an unfinished turn. */
@Serializable
internal class StoredRecord(
    val turn: TurnRecord? = null,
    val use: UseRecord? = null,
    val origin: OriginRecord? = null,
    val unfinishedTurn: TurnRecord? = null,
) {
    val expiresAtEpochMillis: Long
        get() =
            turn?.expiresAtEpochMillis
                ?: use?.expiresAtEpochMillis
                ?: origin?.expiresAtEpochMillis
                ?: unfinishedTurn?.expiresAtEpochMillis
                ?: 0

    /** The text whose rendezvous hash orders the hosts of the record. */
    val placementKey: String get() = turn?.programId ?: use?.programId ?: origin?.attemptId ?: unfinishedTurn?.streamId.orEmpty()

    val sizeBytes: Int get() = ESTIMATED_USE_BYTES + (turn?.sizeBytes ?: 0) + (unfinishedTurn?.sizeBytes ?: 0)

    val key: RecordKey
        get() =
            RecordKey(
                turnId = turn?.id,
                programId = use?.programId,
                attemptId = use?.attemptId ?: origin?.attemptId ?: unfinishedTurn?.id,
                isSettled = use?.isSettled ?: false,
                expiresAtEpochMillis = expiresAtEpochMillis,
                streamId = unfinishedTurn?.streamId,
                eventCount = unfinishedTurn?.eventCount ?: 0,
            )
}

private const val ESTIMATED_USE_BYTES = 100

/**
 * Identifies a record: a turn by [turnId], a use by [programId] and [attemptId], an unfinished turn by [streamId] and [attemptId], the
 * origin of a stream by [attemptId] alone.
 */
@Serializable
internal data class RecordKey(
    val turnId: String? = null,
    val programId: String? = null,
    val attemptId: String? = null,
    /** Whether the use is settled; a reservation of the same attempt doesn't replace it. */
    val isSettled: Boolean = false,
    /** The time until which a turn or use is to be kept; a host that drops it earlier lacks it. */
    val expiresAtEpochMillis: Long = 0,
    val streamId: String? = null,
    /** The events of an unfinished turn; a host with fewer lacks it. */
    val eventCount: Int = 0,
)

/** Asks which of the records with [keys] the host lacks. */
@Serializable
internal class MissingRequest(
    val keys: List<RecordKey>,
)

/** Indices of the request's keys. */
@Serializable
internal class MissingReply(
    val indices: List<Int>,
)

/** A call to the turn host at [hostAddress], sent through another entry host because the turn host doesn't respond directly. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class RelayRequest(
    val hostAddress: String,
    val method: String,
    @ByteString val request: ByteArray,
    /** The revision of the list of turn hosts by which the request was sent. */
    val listRevision: Long = 0,
)

/** [reply] is null if the relaying entry host doesn't reach the turn host either, or if the host has [newerList]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class RelayReply(
    @ByteString val reply: ByteArray?,
    @ByteString val newerList: ByteArray? = null,
)

/** Announces a list of turn hosts, which the host adopts if it is newer than its own, and asks for what the host knows. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class ListStateRequest(
    @ByteString val list: ByteArray,
)

/**
 * The revisions of the newest list that the host knows, of the newest one for which all its records have enough copies, and of the
 * first one that its disk knew.
 */
@Serializable
internal data class ListStateReply(
    val revision: Long,
    val settledRevision: Long,
    val firstRevision: Long,
)

/** Announces the address at which an entry host relays calls, and requests those of other entry hosts. */
@Serializable
internal data class MeetRequest(
    /** Empty while the entry host doesn't listen there. */
    val relayAddress: String,
    /** Whether the entry host hears from the turn host for the first time on this connection. */
    val isFirst: Boolean = false,
)

@Serializable
internal data class MeetReply(
    val relayAddresses: List<String>,
    /** Reports about requests that may crash servers, for a host that missed a [CrashNotice]. */
    val crashEvidence: List<CrashEvidence> = emptyList(),
    /** Identifies the run of the turn host's process. */
    val runId: String = "",
)

/** Records of a turn host that is being retired. */
@Serializable
internal class OfferRequest(
    val records: List<StoredRecord>,
)
