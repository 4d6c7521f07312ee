package lavendertrail.turns

import com.github.michaelbull.result.fold
import lavendertrail.serving.QuotaQuestion
import lavendertrail.serving.TurnHost
import lavendertrail.serving.rankTurnHosts

/*
 * Questions about the limits of client accounts. The list of turn hosts in the platform's store names the one host that decides for an
 * account, whether an entry host reaches it or not: two that ask different hosts would use the limit twice.
 */

/** Many times a round trip. A caller waits for the answer. */
private const val QUOTA_TIMEOUT_MILLIS = 200L

/** A call on a connection that has gone silent gets no answer, and the next one is sent on a new connection. */
private const val QUOTA_ATTEMPTS = 2

/** The turn host that decides for the account; null if there are no turn hosts. */
internal fun quotaHolder(
    accountName: String,
    hosts: List<TurnHost>,
): TurnHost? = rankTurnHosts(accountName, hosts).firstOrNull()

/** Asks the turn host that decides for the account; [onDone] gets null if it doesn't answer. */
internal fun TurnClient.askQuota(
    question: QuotaQuestion,
    attemptsLeft: Int = QUOTA_ATTEMPTS,
    onDone: (QuotaReply?) -> Unit,
) {
    val holder = quotaHolder(question.accountName, hosts.hosts)
    if (holder == null || attemptsLeft == 0 || !isUsable(holder)) return onDone(null)
    call(holder, TurnMethods.quota, question, QUOTA_TIMEOUT_MILLIS) { result ->
        result.fold(onDone) {
            onCallFailure(it)
            askQuota(question, attemptsLeft - 1, onDone)
        }
    }
}
