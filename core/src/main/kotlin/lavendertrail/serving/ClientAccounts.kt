package lavendertrail.serving

/** The client accounts of a configuration, and the keys by which callers name them. The keys appear in no log, message or dump. */
public class ClientAccounts(
    private val accountsByKey: Map<String, ClientAccount>,
) {
    public val accounts: Set<ClientAccount> = accountsByKey.values.toSet()

    /** The account that holds [key]; null if none does. */
    public operator fun get(key: String): ClientAccount? = accountsByKey[key]

    override fun toString(): String = "${accounts.size} accounts"
}
