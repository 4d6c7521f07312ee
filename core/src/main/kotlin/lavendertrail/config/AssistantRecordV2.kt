package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.Budget
import lavendertrail.model.ModelId
import lavendertrail.model.OwnerId
import lavendertrail.model.ServiceClass

/** Version 2 of [AssistantRecord], which names a [BudgetRecord] instead of holding the budget itself. */
@Serializable
internal data class AssistantRecordV2(
    val name: String,
    val owner: OwnerId,
    val model: ModelId,
    val serviceClass: ServiceClass,
    val budgetName: String,
    val helpers: List<String> = emptyList(),
) {
    fun toRecord(budget: Budget): AssistantRecord = AssistantRecord(name, owner, model, serviceClass, budget, helpers, budgetName)
}
