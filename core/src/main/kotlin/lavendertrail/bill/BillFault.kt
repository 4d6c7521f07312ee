package lavendertrail.bill

import kotlinx.serialization.Serializable
import lavendertrail.model.ProgramId

/** One record that failed verification, identified by [program] and [sequence]. */
@Serializable
public data class BillFault(
    public val program: ProgramId,
    public val sequence: Int,
    public val kind: Kind,
    public val message: String,
) {
    @Serializable
    public enum class Kind {
        /** A field or the content differs from what was hashed when the record was written. */
        CHANGED,

        /** No record with this sequence number. */
        MISSING,

        /** A second record with this sequence number. */
        DOUBLED,

        /** The record is valid but belongs to another chain: an earlier record was replaced, including its hash. */
        UNLINKED,
    }
}
