package lavendertrail.model

import kotlinx.serialization.Serializable

/** One of the [COUNT] fixed groups of programs. A partition has one owner node at a time. */
@JvmInline
@Serializable
public value class PartitionId(
    public val index: Int,
) : Comparable<PartitionId> {
    init {
        require(index in 0 until COUNT) { "partition must be in 0..${COUNT - 1}, was $index" }
    }

    override fun compareTo(other: PartitionId): Int = index.compareTo(other.index)

    override fun toString(): String = "%03x".format(index)

    public companion object {
        /** Gives 420 nodes two or three partitions each. Changing it moves every program to another partition. */
        public const val COUNT: Int = 1024
    }
}
