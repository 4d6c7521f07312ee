package lavendertrail.serving

import java.security.MessageDigest

/** A secret by which callers name their account. Its text form doesn't show it. */
public class AccountKey(
    public val secret: String,
) {
    /** Takes the same time wherever the keys differ. */
    override fun equals(other: Any?): Boolean =
        other is AccountKey && MessageDigest.isEqual(secret.toByteArray(), other.secret.toByteArray())

    override fun hashCode(): Int = secret.hashCode()

    override fun toString(): String = "account key"
}
