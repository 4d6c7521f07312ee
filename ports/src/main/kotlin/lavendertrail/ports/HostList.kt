package lavendertrail.ports

import com.github.michaelbull.result.Result
import lavendertrail.model.StepError

/** The platform's list of live and leaving hosts. The list lags behind the actual state of the hosts. */
public interface HostList : AutoCloseable {
    public fun read(): Result<HostListing, StepError>
}

/** Result of reading a [HostList]. The names are those of backend servers. */
public data class HostListing(
    public val live: Set<String>,
    public val leaving: Set<String>,
)
