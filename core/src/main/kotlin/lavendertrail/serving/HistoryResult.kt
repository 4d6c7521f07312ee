package lavendertrail.serving

/** Result of looking up the turns that a request continues from. */
public enum class HistoryResult {
    FOUND,

    /** Enough turn hosts have answered to be certain that no such turn exists. */
    NO_SUCH_TURN,

    /** Too few turn hosts have answered. */
    UNCERTAIN,
}
