package lavendertrail.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
public enum class ServerKind {
    @SerialName("engine")
    ENGINE,

    @SerialName("tool")
    TOOL,

    @SerialName("plain")
    PLAIN,
}
