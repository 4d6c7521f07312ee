package lavendertrail.history

import kotlinx.serialization.Serializable
import lavendertrail.model.ProgramId

/**
 * One entry of a program's append-only history. [hash] covers all other fields except [content], which [contentSha256]
 * covers, so a copy without content can still be verified. [sequence] starts at 0 with [HistoryPayload.Opened]. Create
 * records with [nextRecord] only.
 */
@Serializable
public data class HistoryRecord(
    public val program: ProgramId,
    public val sequence: Int,
    public val epoch: Long,
    public val atMillis: Long,
    public val payload: HistoryPayload,
    public val contentSha256: String,
    public val previousHash: String,
    public val hash: String,
    public val content: String? = null,
)
