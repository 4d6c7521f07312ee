package lavendertrail.adapters

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import lavendertrail.model.StepError
import lavendertrail.ports.HostList
import lavendertrail.ports.HostListing
import org.http4k.core.HttpHandler
import org.http4k.core.Method

/** The platform's host list at [address] (`ip:port`). */
public fun httpHostList(
    address: String,
    timeoutMillis: Long = 5_000,
    http: HttpHandler = SharedClients.pooled,
): HostList = HttpHostList(JsonPeer("host list $address", address, http, timeoutMillis))

/** See [httpHostList]. */
internal class HttpHostList(
    private val peer: JsonPeer,
) : HostList {
    override fun read(): Result<HostListing, StepError> =
        peer.decode<HostsBody>("host list read", peer.request(Method.GET, "/hosts")).map { HostListing(it.live, it.leaving) }

    override fun close(): Unit = Unit

    @Serializable
    private data class HostsBody(
        val live: Set<String>,
        val leaving: Set<String> = emptySet(),
    )
}
