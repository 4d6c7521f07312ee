package lavendertrail.serving

/** Why a request was sent to its server. [homeSlowerMillis] is by how much later it would probably start at its home. */
public data class PlacementCause(
    val reason: PlacementReason,
    val homeSlowerMillis: Long? = null,
)

/** Where the request has its home, or why it was sent elsewhere. */
public enum class PlacementReason {
    HOME,

    /** Another server has cached more of the prompt, in most cases that of the session's last turn. */
    CACHED_ELSEWHERE,

    /** The home has more requests than its bound. */
    HOME_FULL,

    /** The request would start at its home later by more than the home is preferred by. */
    HOME_SLOWER,
    HOME_IN_OTHER_DOMAIN,

    /** The home takes no new requests any more. */
    HOME_LEAVING,

    /** Connections to the home failed a moment ago. */
    HOME_FAILING,

    /** An earlier attempt was sent to the home. */
    RETRY,

    /** The server with the first permit, among those that state a request limit. */
    PERMIT,
}
