package lavendertrail.serving

/** A secret by which callers name their account. Its text form doesn't show it. */
public class AccountKey(
    public val secret: String,
) {
    override fun equals(other: Any?): Boolean = other is AccountKey && secret == other.secret

    override fun hashCode(): Int = secret.hashCode()

    override fun toString(): String = "account key"
}
