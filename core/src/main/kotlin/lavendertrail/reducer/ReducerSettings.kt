package lavendertrail.reducer

import kotlinx.serialization.Serializable
import lavendertrail.dispatch.DispatchSettings
import lavendertrail.membership.MembershipSettings
import lavendertrail.program.ProgramSettings

/** All settings that decisions depend on. */
@Serializable
public data class ReducerSettings(
    public val programs: ProgramSettings = ProgramSettings(),
    public val dispatch: DispatchSettings = DispatchSettings(),
    public val membership: MembershipSettings = MembershipSettings(),
)
