package lavendertrail.dispatch

/** Queue, running attempts and what is known about backend servers. */
public data class DispatchState(
    internal val sequence: Long = 0,
)
