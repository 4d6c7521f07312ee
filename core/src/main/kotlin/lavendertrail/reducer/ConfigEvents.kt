package lavendertrail.reducer

import kotlinx.serialization.Serializable
import lavendertrail.model.NodeId

/** One configuration record as stored: [json] is kept unchanged, also where its schema version is not known here. */
@Serializable
public data class StoredRecord(
    public val kind: String,
    public val name: String,
    public val json: String,
    public val revision: Long,
    public val deleted: Boolean = false,
)

/**
 * Records read from the service or from a peer. [headRevision] is the highest revision that the source knows. With
 * [complete] the source has no other records, so a missing record was deleted at [headRevision] at the latest.
 */
@Serializable
public data class ConfigRecordsReceived(
    public val records: List<StoredRecord>,
    public val headRevision: Long,
    public val source: String,
    public val complete: Boolean = false,
) : Event

/** A peer has a newer configuration revision than this node. */
@Serializable
public data class ConfigBehind(
    public val peer: NodeId,
    public val peerRevision: Long,
) : Signal

/** Fetches records newer than [afterRevision] from [peer]. */
public data class FetchConfig(
    public val peer: NodeId,
    public val afterRevision: Long,
) : Effect

/** A configuration change took effect at this node. */
@Serializable
public data class ConfigApplied(
    public val revision: Long,
    public val kinds: Set<String>,
) : Signal

/** Saves the configuration on the node's disk, if it has one, so that the node can start without the service and its peers. */
public data class SaveConfig(
    public val records: List<StoredRecord>,
    public val headRevision: Long,
) : Effect
