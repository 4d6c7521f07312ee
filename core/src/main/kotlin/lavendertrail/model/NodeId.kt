package lavendertrail.model

import kotlinx.serialization.Serializable

/** Name of one lavendertrail process, unique in the deployment, such as `sohar-1`. */
@JvmInline
@Serializable
public value class NodeId(
    public val value: String,
) {
    init {
        require(value.isNotBlank()) { "NodeId must not be blank, was '$value'" }
    }

    override fun toString(): String = value
}
