package lavendertrail.model

import kotlinx.serialization.Serializable

/**
 * Identifies a program: `<region>-<partition as 3 hex digits>-<random or key hash>`, and `<root>.<n>` for a sub-agent.
 *
 * Region and partition are part of the name, so any node finds the owner without a lookup, and a whole tree of
 * sub-agents has one owner.
 *
 * ```kotlin
 * val root = programId(RegionId("batinah"), PartitionId(0x2a), "7f3c")
 * root.value        // batinah-02a-7f3c
 * root.child(1)     // batinah-02a-7f3c.1
 * ```
 */
@JvmInline
@Serializable
public value class ProgramId(
    public val value: String,
) {
    init {
        require(PATTERN.matches(value)) { "program id must look like 'batinah-02a-7f3c' or 'batinah-02a-7f3c.1', was '$value'" }
    }

    public val region: RegionId get() = RegionId(rootValue().substringBeforeLast('-').substringBeforeLast('-'))

    public val partition: PartitionId
        get() = PartitionId(rootValue().substringBeforeLast('-').substringAfterLast('-').toInt(radix = 16))

    /** The program at the top of the tree of sub-agents; itself for a program without a parent. */
    public val root: ProgramId get() = ProgramId(rootValue())

    public val parent: ProgramId? get() = if ('.' in value) ProgramId(value.substringBeforeLast('.')) else null

    public fun child(number: Int): ProgramId = ProgramId("$value.$number")

    override fun toString(): String = value

    private fun rootValue(): String = value.substringBefore('.')

    public companion object {
        private val PATTERN = Regex("""[a-z0-9][a-z0-9-]{0,40}-[0-3][0-9a-f]{2}-[0-9a-z]{1,64}(\.\d{1,4}){0,8}""")

        /** Parses an id given by a caller; null where its format is invalid. */
        public fun parseOrNull(value: String): ProgramId? = if (PATTERN.matches(value)) ProgramId(value) else null
    }
}

public fun programId(
    region: RegionId,
    partition: PartitionId,
    suffix: String,
): ProgramId = ProgramId("$region-$partition-$suffix")
