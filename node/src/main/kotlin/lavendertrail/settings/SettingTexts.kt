package lavendertrail.settings

import lavendertrail.settings.SettingRule.Address
import lavendertrail.settings.SettingRule.Anything
import lavendertrail.settings.SettingRule.Choice
import lavendertrail.settings.SettingRule.Ip
import lavendertrail.settings.SettingRule.Pattern
import lavendertrail.settings.SettingRule.Range

/** Allowed values and meaning of a setting. */
internal class SettingText(
    val rule: SettingRule,
    val meaning: String,
)

private const val DAY_MILLIS = 86_400_000L
private const val HOUR_MILLIS = 3_600_000L

private val name = Pattern(Regex("[a-z0-9][a-z0-9-]{0,40}"), "1 to 41 of a-z, 0-9 and '-', such as sohar-1")
private val port = Range(0L..MAX_PORT.toLong())

private infix fun SettingRule.means(meaning: String): SettingText = SettingText(this, meaning)

private fun millis(
    first: Long,
    last: Long,
): SettingRule = Range(first..last)

private val processTexts: Map<String, SettingText> =
    mapOf(
        "node" to (name means "Name of this process, unique in the deployment."),
        "region" to (name means "Region of this process; its programs live there."),
        "failureDomain" to (name means "Failure domain of this host. The two copies of a journal are in different ones."),
        "dataFolder" to (Anything means "Folder on a small disk. A node that has one holds journals; one without is stateless."),
        "operators" to (Anything means "Operators of the admin API: a list of objects with `name` and `tokenSha256` (hex)."),
        "api.ip" to (Ip means "Address for callers and operators."),
        "api.port" to (port means "Port for callers and operators; 0 takes any free port."),
        "api.tlsKeystoreFile" to (Anything means "PKCS#12 file with certificate and key for HTTPS; without it the API speaks HTTP."),
        "api.tlsPasswordFile" to (Anything means "File with the password of the PKCS#12 file."),
        "api.allowUnauthenticated" to (Anything means "Accept an account's name as its token where its record lists none."),
        "api.maxBodyBytes" to (Range(1_024L..67_108_864) means "Longest request body."),
        "api.maxHeaderBytes" to (Range(1_024L..1_048_576) means "Longest request head."),
        "api.maxJsonDepth" to (Range(4L..512) means "Deepest nesting of a request body."),
        "api.readTimeoutMillis" to (millis(100, HOUR_MILLIS) means "Longest time without data from a caller that sends a request."),
        "api.workerThreads" to (
            Range(
                16L..8_192,
            ) means "Threads that run request handlers; one waits per request until its answer starts."
        ),
        "api.maxOpenRequests" to
            (Range(8L..8_000) means "Requests whose answer hasn't started; more are refused. Keep below workerThreads."),
        "api.defaultDeadlineMillis" to (millis(100, DAY_MILLIS) means "Time for a call that names no deadline."),
        "api.maxDeadlineMillis" to (millis(1_000, DAY_MILLIS) means "Longest time a call may ask for; later deadlines are reduced to it."),
        "peer.ip" to (Ip means "Address for other nodes."),
        "peer.port" to (port means "Port for other nodes; 0 takes any free port."),
        "peer.certificateFile" to (Anything means "PEM certificate chain of this node; required unless peer.ip is loopback."),
        "peer.keyFile" to (Anything means "PEM key (PKCS#8) of this node."),
        "peer.authorityFile" to (Anything means "PEM certificate of the authority that signs all nodes' certificates."),
        "platform.keyValueAddress" to (Address means "The platform's key-value service."),
        "platform.hostListAddress" to (Address means "The platform's host list."),
        "platform.weightStoreAddress" to (Address means "The platform's store of model weights."),
        "timing.tickMillis" to (millis(5, 1_000) means "Interval at which time limits are checked."),
        "timing.hostListPollMillis" to (millis(100, 60_000) means "Interval of reading the host list."),
        "timing.cacheEventPollMillis" to (millis(50, 60_000) means "Interval of reading the cache events of engines in use."),
        "timing.leaseTtlMillis" to (millis(1_000, HOUR_MILLIS) means "Time after which the record of a node that is gone disappears."),
        "timing.leaseRenewMillis" to (millis(200, HOUR_MILLIS) means "Interval of renewing the lease; at most half of leaseTtlMillis."),
        "timing.watchIdleMillis" to
            (millis(500, 600_000) means "Time without data after which the watch counts as stalled and all records are listed again."),
        "timing.unreadyBeforeDrainMillis" to
            (millis(0, 600_000) means "Time between /readyz failing and the drain, for the balancer to notice."),
        "timing.shutdownLimitMillis" to (millis(0, HOUR_MILLIS) means "Longest time of a shutdown; running requests are aborted after it."),
        "log.level" to (Choice(listOf("debug", "info", "warn", "error")) means "Lowest level that is logged."),
        "log.format" to (Choice(listOf("text", "json")) means "Format of log lines on standard output."),
        "log.eventLogFile" to
            (Anything means "File to which all events are recorded for a replay; for diagnosis only, it grows without limit."),
        "journal.fsync" to
            (Choice(listOf("interval", "always")) means "Flush journals to disk in intervals, or before each acknowledgement."),
        "journal.fsyncIntervalMillis" to (millis(1, 10_000) means "Interval of flushes."),
        "journal.segmentBytes" to (Range(1_048_576L..1_073_741_824) means "Size at which a journal file is closed and the next begun."),
        "journal.maxOpenFiles" to (Range(8L..100_000) means "Journal files that are kept open."),
        "historyRetentionDays" to (Range(1L..3_650) means "Time for which histories of ended programs are kept."),
    )

private val reducerTexts: Map<String, SettingText> =
    mapOf(
        "programs.maxWaitingCalls" to (Range(0L..10_000) means "Calls of one program that wait for an earlier position."),
        "programs.maxWaitingMillis" to (millis(0, HOUR_MILLIS) means "Longest wait for an earlier position."),
        "programs.endedRetentionMillis" to (millis(0, DAY_MILLIS) means "Time for which an ended program stays in memory."),
        "programs.bytesPerToken" to (Range(1L..16) means "Estimate of a token's length for placement."),
        "programs.maxRecentCalls" to (Range(1L..10_000) means "Finished calls of a program whose texts stay in memory."),
        "programs.maxRecentTextBytes" to
            (Range(0L..1_073_741_824) means "Texts of one program that stay in memory; older ones are read from the journal."),
        "programs.cancelLimitMillis" to (millis(0, HOUR_MILLIS) means "Time that a cancelled call gets to end."),
        "programs.retryAfterMillis" to (millis(1, HOUR_MILLIS) means "Wait that a refused caller is told."),
        "dispatch.retryBurst" to (Range(0L..100_000) means "Retries that are allowed beyond the retry budget after a quiet time."),
        "dispatch.maxAttempts" to (Range(1L..100) means "Attempts of one call."),
        "dispatch.maxPrefillQueueMillis" to (millis(1, HOUR_MILLIS) means "Prefill of own calls that may queue at one server."),
        "dispatch.maxHoldMillis" to
            (millis(0, HOUR_MILLIS) means "Longest wait of a call for the server that holds its prefix while another has room."),
        "dispatch.nearEqualPercent" to (Range(0L..100) means "Candidates this close to the best estimate are chosen among at random."),
        "dispatch.nearDeadlineMillis" to
            (millis(0, DAY_MILLIS) means "A call whose program's deadline is nearer goes before others of its account and class."),
        "dispatch.crashVerdictMillis" to
            (millis(0, HOUR_MILLIS) means "Time in which a server must respond after a lost connection; otherwise it counts as crashed."),
        "dispatch.isolationEndsAtFirstToken" to
            (Anything means "End the isolation of a suspected poison request at its first token instead of at its end."),
        "dispatch.findStreamMillis" to (millis(0, HOUR_MILLIS) means "Longest search for the stream of a recovered call."),
        "dispatch.serverBackoffMillis" to
            (millis(0, HOUR_MILLIS) means "Time without new work for a server that refused a connection or stopped responding."),
        "dispatch.accountShareExpiryMillis" to
            (millis(100, HOUR_MILLIS) means "Age at which another node's count of an account's calls no longer counts."),
        "dispatch.cacheHalfLifeMillis" to
            (millis(100, DAY_MILLIS) means "Half-life of the expected length of an unpinned cached prefix."),
        "dispatch.cachePressurePercent" to
            (Range(0L..100) means "Fill of a server's cache above which caches of paused programs are no longer pinned by default."),
        "dispatch.maxPinnedPercent" to (Range(0L..100) means "Share of a server's cache that this node's pins may take."),
        "dispatch.domainDistanceMillis" to (millis(0, 10_000) means "Delay between two failure domains of a region, one way."),
        "dispatch.enginesLoadOnDemand" to
            (Anything means "Engines load a model that is asked for; otherwise only servers that report it get its calls."),
        "dispatch.weightBytesPerSecond" to (Range(1L..1_000_000_000_000) means "Speed at which an engine loads weights, for estimates."),
        "dispatch.scaleUpWaitingCalls" to
            (Range(1L..100_000) means "Waiting calls per loaded server above which a model gets one more server."),
        "dispatch.scaleUpMillis" to
            (millis(0, DAY_MILLIS) means "Time for which scaleUpWaitingCalls must be exceeded before a model gets another server."),
        "dispatch.scaleDownMillis" to
            (millis(0, DAY_MILLIS) means "Time without calls after which a model's server may take another model."),
        "dispatch.modelOrderMillis" to (millis(1_000, DAY_MILLIS) means "Time after which an order to load a model counts as failed."),
        "dispatch.policy" to
            (Choice(listOf("programAware", "roundRobinFifo", "leastLoadFifo", "stickyFifo")) means "Dispatch policy; see docs/policy.md."),
        "dispatch.maxClassWaitMillis" to (millis(0, HOUR_MILLIS) means "Wait after which a call of the lowest class passes all classes."),
        "dispatch.subsetServers" to (Range(1L..1_000) means "Servers per model that this node sends to."),
        "dispatch.maxQueuedCalls" to (Range(1L..1_000_000) means "Calls that wait for a server; more are refused."),
        "dispatch.streamIdleMillis" to
            (millis(100, HOUR_MILLIS) means "Longest time without data on a stream before a new connection is tried."),
        "dispatch.retryBudgetPercent" to (Range(0L..100) means "Retries as a percentage of all calls."),
        "dispatch.poisonCrashLimit" to (Range(1L..100) means "Server crashes after which a request is refused."),
        "dispatch.poisonExpiryMillis" to (millis(1_000, 30 * DAY_MILLIS) means "Time after which a poison request may be tried again."),
        "dispatch.loadPollMillis" to (millis(50, 600_000) means "Interval of asking an idle server for its load."),
        "dispatch.pinSweepMillis" to (millis(500, HOUR_MILLIS) means "Interval at which pins of programs that are gone are released."),
        "dispatch.maxPinMillis" to (millis(0, HOUR_MILLIS) means "Longest pin of a program's cache."),
        "membership.probeMillis" to (millis(10, 60_000) means "Interval of probes."),
        "membership.probeTimeoutMillis" to (millis(10, 60_000) means "Time after which a probe has failed."),
        "membership.suspectAfterMillis" to (millis(50, 600_000) means "Time of failed probes after which a node is suspected."),
        "membership.suspicionTtlMillis" to (millis(50, 600_000) means "Time after which another observer's suspicion no longer counts."),
        "membership.ringNeighbours" to (Range(1L..20) means "Neighbours that a node probes, beside one random peer."),
        "membership.firstPartition" to (Range(0L..1_023) means "First of the region's partitions; fixed for the life of a deployment."),
        "membership.partitionsInUse" to (Range(1L..1_024) means "Number of the region's partitions; fixed for the life of a deployment."),
        "membership.maxSwapsInFlight" to (Range(1L..1_024) means "Partition records that a node writes at the same time."),
        "membership.journalCopies" to (Range(1L..2) means "Copies of each journal; 1 tolerates no loss of a host."),
        "membership.startupSettleMillis" to (millis(0, 600_000) means "Time after the start before partitions are claimed."),
        "membership.rebalanceMillis" to (millis(50, HOUR_MILLIS) means "Interval at which partitions move to their desired owners."),
        "membership.maxHandovers" to (Range(1L..1_024) means "Partitions that are handed over at the same time."),
        "membership.drainMillis" to (millis(0, HOUR_MILLIS) means "Time that running calls get before a partition moves."),
        "membership.retryMillis" to (millis(10, 600_000) means "Wait before a failed change of a partition is tried again."),
    )

internal val settingTexts: Map<String, SettingText> = processTexts + reducerTexts
