package lavendertrail.settings

import kotlinx.serialization.Serializable
import lavendertrail.dispatch.DispatchSettings
import lavendertrail.journal.JournalSettings
import lavendertrail.membership.MembershipSettings
import lavendertrail.program.ProgramSettings

/**
 * All settings of one process, as read from its settings file. docs/settings.md lists them with units, defaults and ranges;
 * the page is generated from [settingsCatalogue].
 */
@Serializable
public data class NodeSettings(
    public val node: String,
    public val region: String,
    public val failureDomain: String,
    public val dataFolder: String? = null,
    public val api: ApiSettings,
    public val peer: PeerSettings,
    public val platform: PlatformSettings,
    public val operators: List<OperatorToken> = emptyList(),
    public val timing: TimingSettings = TimingSettings(),
    public val log: LogSettings = LogSettings(),
    public val journal: JournalSettings = JournalSettings(),
    public val historyRetentionDays: Int = 30,
    public val programs: ProgramSettings = ProgramSettings(),
    public val dispatch: DispatchSettings = DispatchSettings(),
    public val membership: MembershipSettings = MembershipSettings(),
)

/** Endpoint for callers and operators. Without [tlsKeystoreFile], the API uses plain HTTP. */
@Serializable
public data class ApiSettings(
    public val ip: String,
    public val port: Int,
    public val tlsKeystoreFile: String? = null,
    public val tlsPasswordFile: String? = null,
    public val allowUnauthenticated: Boolean = false,
    public val maxBodyBytes: Long = 8L * 1024 * 1024,
    public val maxHeaderBytes: Int = 32 * 1024,
    public val maxJsonDepth: Int = 64,
    public val readTimeoutMillis: Int = 30_000,
    public val workerThreads: Int = 1_024,
    public val maxOpenRequests: Int = 900,
    public val defaultDeadlineMillis: Long = 120_000,
    public val maxDeadlineMillis: Long = 3_600_000,
)

/** Endpoint for other nodes. The three files together enable mutual TLS; without them, only a loopback address is accepted. */
@Serializable
public data class PeerSettings(
    public val ip: String,
    public val port: Int,
    public val certificateFile: String? = null,
    public val keyFile: String? = null,
    public val authorityFile: String? = null,
)

/** Addresses of the platform's services. */
@Serializable
public data class PlatformSettings(
    public val keyValueAddress: String,
    public val hostListAddress: String,
    public val weightStoreAddress: String,
)

/** An operator with the SHA-256 hash of the token that the operator sends. */
@Serializable
public data class OperatorToken(
    public val name: String,
    public val tokenSha256: String,
)

@Serializable
public data class TimingSettings(
    public val tickMillis: Long = 50,
    public val hostListPollMillis: Long = 1_000,
    public val cacheEventPollMillis: Long = 1_000,
    public val leaseTtlMillis: Long = 30_000,
    public val leaseRenewMillis: Long = 10_000,
    public val watchIdleMillis: Long = 15_000,
    public val unreadyBeforeDrainMillis: Long = 3_000,
    public val shutdownLimitMillis: Long = 90_000,
)

@Serializable
public data class LogSettings(
    public val level: String = "info",
    public val format: String = "text",
    public val eventLogFile: String? = null,
)
