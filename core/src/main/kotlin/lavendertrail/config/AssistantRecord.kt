package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.Budget
import lavendertrail.model.ModelId
import lavendertrail.model.OwnerId
import lavendertrail.model.ServiceClass

/** An assistant or helper that programs run as. A program's budget can't exceed [budget]. */
@Serializable
public data class AssistantRecord(
    public val name: String,
    public val owner: OwnerId,
    public val model: ModelId,
    public val serviceClass: ServiceClass,
    public val budget: Budget,
    public val helpers: List<String> = emptyList(),
    public val budgetName: String? = null,
)
