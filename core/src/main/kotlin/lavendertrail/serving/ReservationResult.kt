package lavendertrail.serving

/** Result of reserving a turn's tokens in its program's budget. */
public enum class ReservationResult {
    RESERVED,
    SPENT,

    /** Too few turn hosts have answered to know the program's usage. */
    UNCERTAIN,
}
