package lavendertrail.ports

import com.github.michaelbull.result.Result
import lavendertrail.model.ModelId
import lavendertrail.model.StepError

/** The platform's rate-limited store of model weights. */
public interface WeightStore : AutoCloseable {
    /** Asks for a slot to download [model]; the answer is how long to wait before the download may start. */
    public fun reserveDownload(
        model: ModelId,
        sizeBytes: Long,
    ): Result<Long, StepError>
}
