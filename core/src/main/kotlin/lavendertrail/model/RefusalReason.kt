package lavendertrail.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reasons for a [Refusal], also used as a metrics label. */
@Serializable
public enum class RefusalReason {
    @SerialName("unknownProgram")
    UNKNOWN_PROGRAM,

    @SerialName("programEnded")
    PROGRAM_ENDED,

    @SerialName("notOwner")
    NOT_OWNER,

    @SerialName("recovering")
    RECOVERING,

    @SerialName("positionTaken")
    POSITION_TAKEN,

    @SerialName("positionGap")
    POSITION_GAP,

    @SerialName("keyReused")
    KEY_REUSED,

    @SerialName("budgetExceeded")
    BUDGET_EXCEEDED,

    @SerialName("turnLimit")
    TURN_LIMIT,

    @SerialName("deadline")
    DEADLINE,

    @SerialName("overloaded")
    OVERLOADED,

    @SerialName("noServer")
    NO_SERVER,

    @SerialName("poisonRequest")
    POISON_REQUEST,

    @SerialName("serverFailed")
    SERVER_FAILED,

    @SerialName("toolFailed")
    TOOL_FAILED,

    @SerialName("historyUnavailable")
    HISTORY_UNAVAILABLE,

    @SerialName("notAllowed")
    NOT_ALLOWED,

    @SerialName("badRequest")
    BAD_REQUEST,

    @SerialName("unresolved")
    UNRESOLVED,

    @SerialName("shuttingDown")
    SHUTTING_DOWN,

    @SerialName("cancelled")
    CANCELLED,
}
