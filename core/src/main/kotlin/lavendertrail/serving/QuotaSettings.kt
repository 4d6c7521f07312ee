package lavendertrail.serving

/**
 * Limits of the quotas of client accounts. What servers may get beyond an account's limit is divided between what its bucket holds
 * above the burst, and what a new granter gives out while leases of an earlier one may still be in use.
 */
public data class QuotaSettings(
    /** How long an entry host may spend credit after the call by which it was granted or renewed; counted from the start of the call. */
    val leaseMillis: Long = 1_500,
    /** How long an entry host holds credit of an account that it gets no requests of. */
    val idleMillis: Long = 1_000,
    /** Capacity of a bucket besides the burst: so much of the rate, [extraRequests], and [extraBurstShare] of the burst. */
    val extraRateMillis: Long = 250,
    val extraRequests: Double = 10.0,
    val extraBurstShare: Double = 0.05,
    /** Capacity of a bucket until the leases of an earlier granter have lapsed: so much of the rate, and [settlingRequests]. */
    val settlingRateMillis: Long = 150,
    val settlingRequests: Double = 5.0,
    /** Credit is granted ahead of requests only while the bucket keeps this share of its capacity. */
    val generousShare: Double = 0.5,
    /** How long the vote of a turn host binds it, and so the time until another turn host may grant in place of a lost one. */
    val voteMillis: Long = 800,
    /** How much earlier a granter stops than its votes lapse. */
    val voteMarginMillis: Long = 80,
    /** Interval at which a granter renews its votes. */
    val voteRenewalMillis: Long = 200,
    /** Interval at which a turn host without enough votes asks for them again. */
    val voteRetryMillis: Long = 50,
    /** How long requests wait for credit that is short, rather than being refused, after a granter has started with empty buckets. */
    val patienceMillis: Long = 3_000,
    /** How long a turn host that nobody asks for credit goes on renewing its votes. */
    val unaskedMillis: Long = 10_000,
    /** Interval at which an entry host whose configuration has limits calls the granter at least, so that one is there. */
    val presenceMillis: Long = 4_000,
    /** Interval at which an entry host reports what it has spent, if no request waits for credit. */
    val reportMillis: Long = 100,
    /** How long a request may wait while no turn host answers whether its account has credit. */
    val maxWaitMillis: Long = 2_500,
    /** How long an entry host refuses the requests of an account without asking, after it was told that no credit is left. */
    val deniedMillis: Long = 50,
    /** Interval at which an entry host asks again for requests that wait. */
    val askAgainMillis: Long = 50,
    /** Time between two log lines about the limit of one account. */
    val logMillis: Long = 10_000,
    /** Retry delay of a request beyond the limit, besides the time until the account has credit; spread evenly over the jitter. */
    val retryMillis: Long = 400,
    val retryJitterMillis: Long = 1_000,
)
