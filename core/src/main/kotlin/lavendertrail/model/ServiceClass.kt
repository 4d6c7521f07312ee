package lavendertrail.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Scheduling class of a program; classes declared earlier take precedence. */
@Serializable
public enum class ServiceClass {
    @SerialName("urgent")
    URGENT,

    @SerialName("normal")
    NORMAL,

    @SerialName("batch")
    BATCH,
}
