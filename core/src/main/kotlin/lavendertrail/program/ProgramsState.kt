package lavendertrail.program

/** Programs of the partitions that this node owns. */
public data class ProgramsState(
    internal val nextAppendId: Long = 1,
)
