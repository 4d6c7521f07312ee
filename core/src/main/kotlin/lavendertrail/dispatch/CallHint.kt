package lavendertrail.dispatch

import lavendertrail.model.CallId
import lavendertrail.model.ServerId
import lavendertrail.reducer.NodeState

/**
 * What only an oracle knows of a call; the `clairvoyant` reference policy uses it, all others ignore it.
 *
 * [remainingMillis] is the engine time that the whole program still needs, [cachedTokens] the true length of the
 * prompt's cached prefix per server. Without a hint the reference policy decides like `programAware`.
 */
public data class CallHint(
    public val generatedTokens: Int,
    public val remainingMillis: Long,
    public val cachedTokens: Map<ServerId, Int>? = null,
)

/** Tells the reference policy about a call before its DispatchRequested; the hint is dropped when the call finishes. */
public fun NodeState.withHint(
    call: CallId,
    hint: CallHint,
): NodeState = copy(dispatch = DispatchState(dispatch.core.copy(hints = dispatch.core.hints.put(call, hint))))
