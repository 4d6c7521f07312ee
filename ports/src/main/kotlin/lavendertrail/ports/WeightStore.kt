package lavendertrail.ports

import com.github.michaelbull.result.Result
import lavendertrail.model.ModelId
import lavendertrail.model.StepError

/** The platform's rate-limited store of model weights. */
public interface WeightStore : AutoCloseable {
    /** Reserves a slot for downloading [model]. Returns the time in milliseconds to wait before starting the download. */
    public fun reserveDownload(
        model: ModelId,
        sizeBytes: Long,
    ): Result<Long, StepError>
}
