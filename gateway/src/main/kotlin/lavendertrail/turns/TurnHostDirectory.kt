package lavendertrail.turns

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lavendertrail.gateway.StoreMirror
import lavendertrail.model.FailureDomain
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValueService
import lavendertrail.serving.TurnHost

/** The list of turn hosts, stored as one entry of the platform's store that is updated by compare-and-swap. */
public class TurnHostDirectory(
    private val service: KeyValueService,
    private val mirror: StoreMirror,
) {
    /** The list in the local mirror; null if it can't be decoded. */
    public fun cached(): TurnHostListing? {
        val entry = mirror[KEY] ?: return TurnHostListing(emptyList(), 0)
        return decode(entry.value)?.let { TurnHostListing(it, entry.revision) }
    }

    public fun read(): Result<TurnHostListing, StepError> =
        service.get(KEY).flatMap { entry ->
            val hosts = if (entry == null) emptyList() else decode(entry.value)
            if (hosts ==
                null
            ) {
                Err(StepError("read turn hosts", KEY, "unreadable list"))
            } else {
                Ok(TurnHostListing(hosts, entry?.revision ?: 0))
            }
        }

    /** Replaces the list; false if it has changed since [revision]. */
    public fun write(
        hosts: List<TurnHost>,
        revision: Long,
    ): Result<Boolean, StepError> = service.swap(KEY, revision, encode(hosts)).map { it.won }

    /** The names of the hosts with a live entry in the local mirror. */
    public fun liveNames(): Set<String> = mirror.keys(LIVE_PREFIX).mapTo(mutableSetOf()) { it.removePrefix(LIVE_PREFIX) }

    /**
     * Removes [host] from [listing]; false if the list has changed since, or if the host's live entry exists. The store checks the
     * entry together with the list, so a process that was paused can't remove a host that has come back meanwhile.
     */
    public fun removeDeadHost(
        host: TurnHost,
        listing: TurnHostListing,
    ): Result<Boolean, StepError> =
        service.swapWhileAbsent(KEY, listing.revision, encode(listing.hosts - host), LIVE_PREFIX + host.name).map { it.won }

    /** The departed hosts as the store has them. */
    public fun readDeparted(): Result<DepartedHosts, StepError> =
        service.get(DEPARTED_KEY).flatMap { entry ->
            val hosts = if (entry == null) emptyList() else decodeDeparted(entry.value)
            if (hosts == null) {
                Err(StepError("read departed turn hosts", DEPARTED_KEY, "unreadable list"))
            } else {
                Ok(DepartedHosts(hosts, entry?.revision ?: 0))
            }
        }

    /** Whether the local mirror has departed hosts. */
    public val hasDeparted: Boolean get() = mirror[DEPARTED_KEY]?.let { decodeDeparted(it.value) != emptyList<DepartedHost>() } ?: false

    /** Replaces the departed hosts; false if they have changed since [revision]. */
    public fun writeDeparted(
        hosts: List<DepartedHost>,
        revision: Long,
    ): Result<Boolean, StepError> = service.swap(DEPARTED_KEY, revision, json.encodeToString(hosts)).map { it.won }

    public companion object {
        public const val KEY: String = "lavendertrail/turn-hosts"

        /** The hosts that have left the list with copies that may not have been replaced yet. */
        public const val DEPARTED_KEY: String = "lavendertrail/turn-hosts-departed"

        /** Prefix of the leased entries of live hosts. */
        public const val LIVE_PREFIX: String = "lavendertrail/turn-hosts-live/"

        private val json = Json { ignoreUnknownKeys = true }

        /** Decodes a stored list of hosts; null if it is invalid. */
        public fun decode(text: String): List<TurnHost>? =
            try {
                json.decodeFromString<List<Entry>>(text).map { TurnHost(it.name, it.address, FailureDomain(it.failureDomain)) }
            } catch (_: SerializationException) {
                null
            }

        private fun decodeDeparted(text: String): List<DepartedHost>? =
            try {
                json.decodeFromString<List<DepartedHost>>(text)
            } catch (_: SerializationException) {
                null
            }

        /** Encodes [hosts] as in the stored list. */
        internal fun encode(hosts: List<TurnHost>): String =
            json.encodeToString(hosts.sortedBy { it.name }.map { Entry(it.name, it.address, it.failureDomain.value) })
    }

    @Serializable
    private data class Entry(
        val name: String,
        val address: String,
        val failureDomain: String,
    )
}

/**
 * A host that has left the list of revision [listRevision] without having handed over its records. The hosts named in [pending], the
 * members of that time, make new copies of those that they share with it.
 */
@Serializable
public data class DepartedHost(
    val name: String,
    val listRevision: Long,
    val pending: List<String>,
    val removedAtEpochMillis: Long,
)

/** The departed hosts and the revision of their entry; 0 if there is no entry. */
public data class DepartedHosts(
    val hosts: List<DepartedHost>,
    val revision: Long,
)

/** The list of hosts and the revision of its entry; 0 if there is no entry. */
public data class TurnHostListing(
    val hosts: List<TurnHost>,
    val revision: Long,
)

@Serializable
private class ListingBody(
    val revision: Long,
    val hosts: String,
)

@OptIn(ExperimentalSerializationApi::class)
internal fun TurnHostListing.toBytes(): ByteArray =
    turnCbor.encodeToByteArray(ListingBody.serializer(), ListingBody(revision, TurnHostDirectory.encode(hosts)))

/** Decodes a list from another host; null if it is malformed. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeListing(bytes: ByteArray): TurnHostListing? =
    try {
        val body = turnCbor.decodeFromByteArray(ListingBody.serializer(), bytes)
        TurnHostDirectory.decode(body.hosts)?.let { TurnHostListing(it, body.revision) }
    } catch (_: SerializationException) {
        null
    }
