package lavendertrail.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Scheduling class of a program; earlier entries go first. */
@Serializable
public enum class ServiceClass {
    @SerialName("urgent")
    URGENT,

    @SerialName("normal")
    NORMAL,

    @SerialName("batch")
    BATCH,
}
