package lavendertrail.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What is known about the execution of a call at a backend server. */
@Serializable
public enum class RunOutcome {
    /** No backend server has executed any part of the call. */
    @SerialName("notRun")
    NOT_RUN,

    /** The call was executed and its result is known. */
    @SerialName("run")
    RUN,

    /** The call was sent to a backend server and no result is known. */
    @SerialName("mayHaveRun")
    MAY_HAVE_RUN,
}
