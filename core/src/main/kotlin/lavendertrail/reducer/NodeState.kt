package lavendertrail.reducer

import lavendertrail.config.ConfigState
import lavendertrail.dispatch.DispatchState
import lavendertrail.membership.MembershipState
import lavendertrail.membership.NodeRecord
import lavendertrail.program.ProgramsState

/** All state that a node's decisions depend on. Each part is changed only by the sub-reducer of its package. */
public data class NodeState(
    public val self: NodeRecord,
    public val settings: ReducerSettings = ReducerSettings(),
    public val programs: ProgramsState = ProgramsState(),
    public val dispatch: DispatchState = DispatchState(),
    public val membership: MembershipState = MembershipState(),
    public val config: ConfigState = ConfigState(),
)
