package lavendertrail.serving

import lavendertrail.model.FailureDomain

/** A host that stores turns and token budgets on its disk. */
public data class TurnHost(
    val name: String,
    val address: String,
    val failureDomain: FailureDomain,
)
