package lavendertrail.membership

/** A partition's record as last read, with the key-value service's [revision] of it. */
public data class PartitionEntry(
    public val record: PartitionRecord?,
    public val revision: Long,
)
