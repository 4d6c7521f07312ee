package lavendertrail.api

import lavendertrail.history.sha256Hex
import lavendertrail.model.AccountId
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.model.programId
import lavendertrail.reducer.NodeState
import java.security.SecureRandom

/**
 * Generates ids of new programs. With an open key the id is derived from account and key, so that opening the program again
 * at any node finds it. Without one the id is random, in a partition that this node owns if there is any, which avoids forwarding
 * each call to another node.
 */
internal class ProgramIds(
    private val state: () -> NodeState,
    private val random: SecureRandom = SecureRandom(),
) {
    fun createProgramId(
        account: AccountId,
        openKey: String?,
    ): ProgramId {
        val region = state().self.region
        if (openKey != null) {
            val hash = sha256Hex("$account\n$openKey")
            val candidates = partitions()
            val partition = candidates[hash.take(PARTITION_DIGITS).toLong(radix = 16).mod(candidates.size)]
            return programId(region, partition, hash.drop(PARTITION_DIGITS).take(SUFFIX_DIGITS))
        }
        val candidates = ownedPartitions().ifEmpty { partitions() }
        return programId(region, candidates[random.nextInt(candidates.size)], randomSuffix())
    }

    private fun partitions(): List<PartitionId> = state().settings.membership.regionPartitions

    private fun ownedPartitions(): List<PartitionId> =
        state()
            .membership.owned
            .filterValues { it.isActive }
            .keys
            .toList()

    private fun randomSuffix(): String {
        val bytes = ByteArray(RANDOM_BYTES).also(random::nextBytes)
        return bytes.joinToString("") { "%02x".format(it) }
    }

    private companion object {
        const val PARTITION_DIGITS = 8
        const val SUFFIX_DIGITS = 32
        const val RANDOM_BYTES = 10
    }
}
