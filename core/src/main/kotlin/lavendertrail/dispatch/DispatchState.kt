package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import lavendertrail.model.CallId
import lavendertrail.model.ServerId
import lavendertrail.reducer.DispatchCall

/** Queue, running attempts and what is known about backend servers. */
@ConsistentCopyVisibility
public data class DispatchState internal constructor(
    internal val core: DispatchCore,
) {
    public constructor() : this(DispatchCore())
}

internal data class DispatchCore(
    val waiting: PersistentList<DispatchCall> = persistentListOf(),
    val running: PersistentMap<CallId, RunningAttempt> = persistentMapOf(),
)

/** An attempt that was sent to [server] and has not ended. */
internal data class RunningAttempt(
    val call: DispatchCall,
    val attempt: Int,
    val server: ServerId,
)
