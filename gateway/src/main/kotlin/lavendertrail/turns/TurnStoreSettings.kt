package lavendertrail.turns

import com.github.michaelbull.result.Result
import lavendertrail.gateway.StoreMirror
import lavendertrail.model.FailureDomain
import lavendertrail.model.StepError
import java.nio.file.Path

/** What the process of a host with a disk needs to know before it starts. */
public data class TurnStoreSettings(
    val nodeName: String,
    val failureDomain: FailureDomain,
    /** Where entry hosts and other hosts with disks reach this one, such as `10.1.4.9:7380`. */
    val address: String,
    val folder: Path,
    /** Whether the whole system starts for the first time, so that an empty disk lacks nothing. */
    val isFirstStart: Boolean,
    /** Hosts with disks that may be lost at once. */
    val diskTolerance: Int,
)

/** How operators ask for a host's disk to be emptied, and learn that it is. */
public class RetirementRequests(
    /** Whether this host is to be emptied. */
    public val isRequested: (StoreMirror) -> Boolean,
    /** Publishes that the host is being emptied, or, with true, that nothing is lost with its disk. */
    public val report: (isDone: Boolean) -> Result<Unit, StepError>,
)
