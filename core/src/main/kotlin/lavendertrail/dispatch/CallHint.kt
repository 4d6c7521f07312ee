package lavendertrail.dispatch

import lavendertrail.model.CallId
import lavendertrail.model.ServerId
import lavendertrail.reducer.NodeState

/**
 * Information about a call that only an oracle has. The `clairvoyant` reference policy uses it; all other policies ignore it.
 *
 * [remainingMillis] is the engine time that the whole program still needs. [cachedTokens] is the actual length of the
 * prompt's cached prefix per server. Without a hint the reference policy decides like `programAware`.
 */
public data class CallHint(
    public val generatedTokens: Int,
    public val remainingMillis: Long,
    public val cachedTokens: Map<ServerId, Int>? = null,
)

/** Adds a hint for a call before its DispatchRequested. The hint is removed when the call finishes. */
public fun NodeState.withHint(
    call: CallId,
    hint: CallHint,
): NodeState = copy(dispatch = DispatchState(dispatch.core.copy(hints = dispatch.core.hints.put(call, hint))))
