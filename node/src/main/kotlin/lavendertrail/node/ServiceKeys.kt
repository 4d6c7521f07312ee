package lavendertrail.node

import kotlinx.serialization.json.Json
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId

/** Keys of the records in the key-value service, as docs/design.md lists them. */
internal object ServiceKeys {
    const val ROOT = "lavendertrail/"
    const val NODES = "${ROOT}nodes/"
    const val PARTITIONS = "${ROOT}partitions/"
    const val CONFIG = "${ROOT}config/"
    const val POISON = "${ROOT}poison/"
    const val AUDIT = "${ROOT}audit/"

    /** Fields that a newer version has added are ignored. */
    val json: Json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

    fun node(node: NodeId): String = "$NODES$node"

    fun partition(partition: PartitionId): String = "$PARTITIONS${partition.index}"

    fun config(
        kind: String,
        name: String,
    ): String = "$CONFIG$kind/$name"

    fun poison(fingerprint: String): String = "$POISON$fingerprint"
}
