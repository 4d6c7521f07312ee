package lavendertrail.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.serialization.Serializable
import kotlin.math.ceil

/**
 * The limit of a client account, as the configuration [configVersion] states it, for one request of a new program or of a running one.
 */
@Serializable
public data class QuotaQuestion(
    val accountName: String,
    val requestsPerSecond: Double,
    val burstRequests: Double,
    val configVersion: Long,
    val isNewProgram: Boolean,
    /** How long the request can wait for room. */
    val maxWaitMillis: Long = 0,
)

/**
 * Whether a request may run, [waitMillis] from now. One that may not is best sent again after [retryAfterMillis]. [hasSpare] tells
 * whether the account uses little of its limit at present.
 */
@Serializable
public data class QuotaDecision(
    val isGranted: Boolean,
    val waitMillis: Long = 0,
    val retryAfterMillis: Long = 0,
    val hasSpare: Boolean = false,
)

/**
 * What client accounts may still use of their limits, at the one host that decides for them.
 *
 * Each account has a token bucket. It starts empty at [startedAtMillis], when this host began to decide, since another host or run may
 * have granted the burst just before. A request that can wait takes a token of the near future, so that the requests of a program that
 * come at once are spread and not refused. The last part of a bucket is kept for running programs, so that an account over its limit
 * finishes what it has begun. Callers that are refused are told to return one after the other, at the account's rate.
 */
public data class AccountQuotas(
    private val startedAtMillis: Long,
    private val buckets: PersistentMap<String, Bucket> = persistentHashMapOf(),
) {
    /** Decides about one request. [share] is the part of the limit that this host may grant, up to 1. */
    public fun decide(
        question: QuotaQuestion,
        share: Double,
        nowMillis: Long,
    ): Pair<AccountQuotas, QuotaDecision> {
        val known = buckets[question.accountName] ?: Bucket(question, tokens = 0.0, startedAtMillis, startedAtMillis)
        val bucket = known.refilled(share, nowMillis).withLimit(question)
        val (next, decision) = bucket.decide(question, share, nowMillis)
        return copy(buckets = buckets.put(question.accountName, next)) to decision
    }

    /** Forgets accounts whose bucket has filled up meanwhile and that ask no more. */
    public fun withoutIdle(nowMillis: Long): AccountQuotas {
        val idle = buckets.filterValues { nowMillis - it.updatedAtMillis > IDLE_MILLIS && it.isFullAt(nowMillis) }.keys
        return if (idle.isEmpty()) this else copy(buckets = idle.fold(buckets) { left, name -> left.remove(name) })
    }

    /** The tokens of an account at [updatedAtMillis]; the caller refused last was told to return at [lastReturnAtMillis]. */
    public data class Bucket(
        private val limit: QuotaQuestion,
        private val tokens: Double,
        internal val updatedAtMillis: Long,
        private val lastReturnAtMillis: Long,
    ) {
        private val capacity get() = maxOf(limit.burstRequests, 1.0)

        internal fun isFullAt(nowMillis: Long): Boolean = refilled(1.0, nowMillis).tokens >= capacity

        internal fun refilled(
            share: Double,
            nowMillis: Long,
        ): Bucket {
            val added = (nowMillis - updatedAtMillis).coerceAtLeast(0) / MILLIS_PER_SECOND * limit.requestsPerSecond * share
            return copy(tokens = minOf(capacity, tokens + added), updatedAtMillis = maxOf(updatedAtMillis, nowMillis))
        }

        /** Entry hosts may know configurations of different ages; the newest one counts. */
        internal fun withLimit(question: QuotaQuestion): Bucket {
            if (question.configVersion <= limit.configVersion) return this
            return copy(limit = question).let { it.copy(tokens = minOf(it.capacity, tokens)) }
        }

        internal fun decide(
            question: QuotaQuestion,
            share: Double,
            nowMillis: Long,
        ): Pair<Bucket, QuotaDecision> {
            val keptTokens = if (question.isNewProgram) minOf(capacity * KEPT_FOR_RUNNING_PROGRAMS, capacity - 1) else 0.0
            val intervalMillis = MILLIS_PER_SECOND / (limit.requestsPerSecond * share)
            val waitMillis = ceil((1 + keptTokens - tokens).coerceAtLeast(0.0) * intervalMillis).toLong()
            if (waitMillis <= question.maxWaitMillis) {
                val next = copy(tokens = tokens - 1)
                return next to QuotaDecision(isGranted = true, waitMillis, hasSpare = next.tokens >= capacity * SPARE_PART)
            }
            // The first caller to return finds room without a wait, and the others follow.
            val returnAtMillis = maxOf(nowMillis + waitMillis, lastReturnAtMillis + intervalMillis.toLong())
            val retryAfterMillis = (returnAtMillis - nowMillis).coerceIn(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS)
            return copy(lastReturnAtMillis = minOf(returnAtMillis, nowMillis + MAX_RETRY_MILLIS)) to
                QuotaDecision(isGranted = false, retryAfterMillis = retryAfterMillis)
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val KEPT_FOR_RUNNING_PROGRAMS = 0.25
        const val SPARE_PART = 0.5
        const val IDLE_MILLIS = 60_000L

        /** A round trip of the caller; no request finds room sooner. */
        const val MIN_RETRY_MILLIS = 20L

        /** Callers that are told to wait for longer than this have mostly given up. */
        const val MAX_RETRY_MILLIS = 3_000L
    }
}
