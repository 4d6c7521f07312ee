package lavendertrail.api

import lavendertrail.config.AccountRecord
import lavendertrail.config.ConfigState
import lavendertrail.history.sha256Hex
import lavendertrail.model.AccountId
import org.http4k.core.Request
import java.security.MessageDigest

/**
 * Resolves a bearer token to its account or operator. With [allowUnauthenticated], the name of an account without
 * configured tokens is accepted as its token.
 */
internal class Authentication(
    private val allowUnauthenticated: Boolean,
    private val operators: Map<String, String>,
    private val config: () -> ConfigState,
) {
    private class TokenIndex(
        val accounts: Map<AccountId, AccountRecord>,
        val byHash: Map<String, AccountRecord>,
    )

    @Volatile
    private var index = TokenIndex(emptyMap(), emptyMap())

    fun account(request: Request): AccountRecord {
        val token = bearerToken(request)
        val accounts = config().accounts
        return tokenIndex(accounts).byHash[sha256Hex(token)]
            ?: accountWithoutToken(accounts, token)
            ?: throw unauthorized("the token belongs to no account")
    }

    /** Returns the operator's name; [operators] maps the SHA-256 of a token to it. Hashes are compared in constant time. */
    fun operator(request: Request): String {
        val hash = sha256Hex(bearerToken(request)).toByteArray()
        return operators.entries.firstOrNull { MessageDigest.isEqual(it.key.toByteArray(), hash) }?.value
            ?: throw unauthorized("the token belongs to no operator")
    }

    private fun accountWithoutToken(
        accounts: Map<AccountId, AccountRecord>,
        token: String,
    ): AccountRecord? =
        if (allowUnauthenticated && token.isNotBlank()) accounts[AccountId(token)]?.takeIf { it.tokenSha256.isEmpty() } else null

    /** Rebuilds the index if the account map is a different object, which only happens after a configuration change. */
    private fun tokenIndex(accounts: Map<AccountId, AccountRecord>): TokenIndex {
        val cached = index
        if (cached.accounts === accounts) return cached
        val byHash = accounts.values.flatMap { account -> account.tokenSha256.map { it.lowercase() to account } }.toMap()
        return TokenIndex(accounts, byHash).also { index = it }
    }

    private fun bearerToken(request: Request): String {
        val header = request.header("Authorization") ?: throw unauthorized("header 'Authorization: Bearer <token>' is missing")
        if (!header.startsWith(SCHEME, ignoreCase = true)) throw unauthorized("header 'Authorization' must start with 'Bearer '")
        return header.substring(SCHEME.length).trim()
    }

    private companion object {
        const val SCHEME = "Bearer "
    }
}
