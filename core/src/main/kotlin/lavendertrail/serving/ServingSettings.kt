package lavendertrail.serving

/** Limits and weights of the serving decisions. */
public data class ServingSettings(
    /** Entries that lapsed while the platform's store was away are used this long after its return; the platform grants two seconds. */
    val lapsedGraceMillis: Long = 2_200,
    /** How long after its start a process lets requests wait for its configuration, which it reads in about 300 ms. */
    val startHoldMillis: Long = 1_000,
    /** Refused sendings of one request before it is rejected; each costs a round trip of about 2 ms. */
    val maxRefusals: Int = 3,
    /** First pause after a failed connection to a server, doubled with each failure in a row. */
    val suspectBaseMillis: Long = 250,
    /** Longest pause; a server that crashed is back after some seconds. */
    val suspectMaxMillis: Long = 2_000,
    /** Part of a queue's slots that may wait beyond the running requests before placement passes a server over. */
    val maxQueueShare: Double = 1.5,
    /** Tokens that an engine reads in a millisecond, for the cost of parts that it has not cached. */
    val prefillTokensPerMilli: Double = 110.0,
    /** Cost of another failure domain in milliseconds; covers the way and the price of bytes between domains. */
    val remoteDomainCostMillis: Double = 25.0,
    /** Assumed duration of a request until the first of its service has ended. */
    val initialServiceMillis: Double = 150.0,
    /** Weight of the newest duration in a service's moving average. */
    val durationWeight: Double = 0.05,
    /** Half-life of what a server reported of other hosts' requests. */
    val loadHalfLifeMillis: Double = 600.0,
    /** Longest wait for the hosts with disks, for history or a reservation. */
    val turnLookupLimitMillis: Long = 1_200,
    /** Programs whose next turns are recognized; an entry host has some hundred under way. */
    val maxRememberedPrograms: Int = 4_096,
    /** Prompt parts that are remembered for each server. */
    val maxCachedParts: Int = 512,
    /** With less time left than this a request is not sent; the way there and back and the smallest work take as long. */
    val minSendMillis: Long = 20,
)
