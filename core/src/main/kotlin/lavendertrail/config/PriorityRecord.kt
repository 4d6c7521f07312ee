package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.ServiceClass

/** After [maxWaitMillis] a call of [serviceClass] goes before the calls of all classes. */
@Serializable
public data class PriorityRecord(
    public val serviceClass: ServiceClass,
    public val maxWaitMillis: Long,
)
