package lavendertrail.turns

import com.github.michaelbull.result.Result
import lavendertrail.gateway.StoreMirror
import lavendertrail.model.FailureDomain
import lavendertrail.model.StepError
import java.nio.file.Path

/** Startup settings of a turn host process. */
public data class TurnStoreSettings(
    val nodeName: String,
    val failureDomain: FailureDomain,
    /** Address at which entry hosts and other turn hosts reach this one, such as `10.1.4.9:7380`. */
    val address: String,
    val folder: Path,
    /** Whether the whole system starts for the first time, so that an empty disk is complete. */
    val isFirstStart: Boolean,
    /** Number of turn hosts that may be lost at once without loss of data. */
    val diskTolerance: Int,
    /** Pause between batches of changes of the platform's store. */
    val storeWatchPauseMillis: Long = 0,
    /** How long one call of the watch of the platform's store waits for changes. */
    val storeWatchWaitMillis: Long = 20_000,
)

/** Receives operators' requests to retire this turn host and reports their progress. */
public class RetirementRequests(
    /** Whether an operator has requested the retirement of this host. */
    public val isRequested: (StoreMirror) -> Boolean,
    /** Publishes that the retirement is in progress or, with true, that the disk can be discarded without loss. */
    public val report: (isDone: Boolean) -> Result<Unit, StepError>,
)
