package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.OwnerId
import lavendertrail.model.ServiceClass

/** A kind of program, such as `permit-renewal`, that callers open by name. Fields that are null are taken from the assistant. */
@Serializable
public data class ProgramRecord(
    public val name: String,
    public val owner: OwnerId,
    public val assistant: String,
    public val serviceClass: ServiceClass? = null,
    public val budgetName: String? = null,
)
