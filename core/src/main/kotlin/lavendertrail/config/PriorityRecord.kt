package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.ServiceClass

/** A call of [serviceClass] that has waited for [maxWaitMillis] takes precedence over calls of all classes. */
@Serializable
public data class PriorityRecord(
    public val serviceClass: ServiceClass,
    public val maxWaitMillis: Long,
)
