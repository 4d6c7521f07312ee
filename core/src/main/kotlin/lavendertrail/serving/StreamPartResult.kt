package lavendertrail.serving

/** What is known of the part of a turn's output that the caller of a resume has. */
public enum class StreamPartResult {
    FOUND,

    /** No turn host has a part of the stream with the event that the caller names. */
    UNKNOWN,

    /** Several resumes of the stream went on differently up to that event, and the caller doesn't say which one it has. */
    AMBIGUOUS,

    /** The stream answers another turn than the one that the caller sends. */
    OTHER_TURN,

    /** Too few turn hosts answered to be certain. */
    UNCERTAIN,
}
