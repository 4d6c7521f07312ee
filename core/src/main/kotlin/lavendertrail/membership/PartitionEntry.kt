package lavendertrail.membership

/** A partition's record as last read from the key-value service, with its [revision]. [record] is null if there is none. */
public data class PartitionEntry(
    public val record: PartitionRecord?,
    public val revision: Long,
)
