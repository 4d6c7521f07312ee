package lavendertrail.api

import lavendertrail.config.AccountRecord
import lavendertrail.config.ConfigState
import lavendertrail.history.sha256Hex
import lavendertrail.model.AccountId
import org.http4k.core.Request
import java.security.MessageDigest

/**
 * Finds the account or operator that a bearer token stands for. With [allowUnauthenticated] the name of an account that
 * lists no token is accepted in place of a token.
 */
internal class Authentication(
    private val allowUnauthenticated: Boolean,
    private val operators: Map<String, String>,
    private val config: () -> ConfigState,
) {
    private class Index(
        val accounts: Map<AccountId, AccountRecord>,
        val byHash: Map<String, AccountRecord>,
    )

    @Volatile
    private var index = Index(emptyMap(), emptyMap())

    fun account(request: Request): AccountRecord {
        val token = bearer(request)
        val accounts = config().accounts
        return current(accounts).byHash[sha256Hex(token)]
            ?: unprotected(accounts, token)
            ?: throw unauthorized("no account has this token")
    }

    /** Name of the operator; [operators] maps the token's SHA-256 to it. Compared without a shortcut on the first difference. */
    fun operator(request: Request): String {
        val hash = sha256Hex(bearer(request)).toByteArray()
        return operators.entries.firstOrNull { MessageDigest.isEqual(it.key.toByteArray(), hash) }?.value
            ?: throw unauthorized("no operator has this token")
    }

    private fun unprotected(
        accounts: Map<AccountId, AccountRecord>,
        token: String,
    ): AccountRecord? =
        if (allowUnauthenticated && token.isNotBlank()) accounts[AccountId(token)]?.takeIf { it.tokenSha256.isEmpty() } else null

    /** The index is rebuilt when the configuration in force is another object, which is the case after each change only. */
    private fun current(accounts: Map<AccountId, AccountRecord>): Index {
        val known = index
        if (known.accounts === accounts) return known
        val byHash = accounts.values.flatMap { account -> account.tokenSha256.map { it.lowercase() to account } }.toMap()
        return Index(accounts, byHash).also { index = it }
    }

    private fun bearer(request: Request): String {
        val header = request.header("Authorization") ?: throw unauthorized("header 'Authorization: Bearer <token>' is missing")
        if (!header.startsWith(SCHEME, ignoreCase = true)) throw unauthorized("header 'Authorization' must start with 'Bearer '")
        return header.substring(SCHEME.length).trim()
    }

    private companion object {
        const val SCHEME = "Bearer "
    }
}
