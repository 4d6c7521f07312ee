package lavendertrail.ports

import com.github.michaelbull.result.Result
import lavendertrail.model.StepError

/** The platform's list of live and leaving hosts. It lags behind. */
public interface HostList : AutoCloseable {
    public fun read(): Result<HostListing, StepError>
}

/** Names are those of backend servers. */
public data class HostListing(
    public val live: Set<String>,
    public val leaving: Set<String>,
)
