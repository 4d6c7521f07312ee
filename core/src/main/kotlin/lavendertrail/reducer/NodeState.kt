package lavendertrail.reducer

import lavendertrail.config.ConfigState
import lavendertrail.dispatch.DispatchState
import lavendertrail.membership.MembershipState
import lavendertrail.membership.NodeRecord
import lavendertrail.program.ProgramsState

/** Everything a node decides on. Each part is changed by the sub-reducer of its package only. */
public data class NodeState(
    public val self: NodeRecord,
    public val settings: ReducerSettings = ReducerSettings(),
    public val programs: ProgramsState = ProgramsState(),
    public val dispatch: DispatchState = DispatchState(),
    public val membership: MembershipState = MembershipState(),
    public val config: ConfigState = ConfigState(),
)
