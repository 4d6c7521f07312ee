package lavendertrail.serving

import java.nio.ByteBuffer
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * The client accounts of a configuration, and the keys by which callers name them. The keys appear in no log, message or dump. They
 * are looked up by a hash with a secret of this process, so that the time of a look-up tells nothing about a key.
 */
public class ClientAccounts(
    accountsByKey: Map<String, ClientAccount>,
) {
    private val hashSecret = SecretKeySpec(ByteArray(HASH_SECRET_BYTES).also(SecureRandom()::nextBytes), HASH_ALGORITHM)
    private val accountsByKeyHash: Map<ByteBuffer, ClientAccount> = accountsByKey.mapKeys { (key, _) -> hash(key) }

    public val accounts: Set<ClientAccount> = accountsByKey.values.toSet()

    /** The account that holds [key]; null if none does. */
    public operator fun get(key: String): ClientAccount? = accountsByKeyHash[hash(key)]

    private fun hash(key: String): ByteBuffer =
        ByteBuffer.wrap(Mac.getInstance(HASH_ALGORITHM).apply { init(hashSecret) }.doFinal(key.toByteArray()))

    override fun toString(): String = "${accounts.size} accounts"

    private companion object {
        const val HASH_ALGORITHM = "HmacSHA256"
        const val HASH_SECRET_BYTES = 32
    }
}
