package lavendertrail.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import lavendertrail.http.HttpBinding
import lavendertrail.model.StepError
import lavendertrail.ports.HostList
import lavendertrail.ports.HostListing
import org.http4k.core.Status

/** An in-process host list service, which [serveHostList] exposes over HTTP. Changes become visible after [lagMillis]. */
public class HostListStandin(
    initial: HostListing = HostListing(emptySet(), emptySet()),
    private val lagMillis: Long = 0,
    private val clock: () -> Long = System::currentTimeMillis,
) : HostList {
    private data class Change(
        val visibleAtMillis: Long,
        val listing: HostListing,
    )

    private val changes = ArrayDeque(listOf(Change(Long.MIN_VALUE, initial)))

    @Volatile
    public var isDown: Boolean = false

    /** Applies [change] to the newest listing, which may not be visible yet. */
    @Synchronized
    public fun update(change: (HostListing) -> HostListing) {
        changes.addLast(Change(clock() + lagMillis, change(changes.last().listing)))
    }

    /** Moves [server] from the live to the leaving servers. */
    public fun leave(server: String): Unit = update { HostListing(it.live - server, it.leaving + server) }

    public fun remove(server: String): Unit = update { HostListing(it.live - server, it.leaving - server) }

    public fun add(server: String): Unit = update { HostListing(it.live + server, it.leaving - server) }

    @Synchronized
    override fun read(): Result<HostListing, StepError> {
        if (isDown) return Err(StepError("host list read", "host list stand-in", "the service is down"))
        val now = clock()
        while (changes.size > 1 && changes[1].visibleAtMillis <= now) changes.removeFirst()
        return Ok(changes.first().listing)
    }

    override fun close(): Unit = Unit
}

@Serializable
private data class HostsAnswer(
    val live: Set<String>,
    val leaving: Set<String>,
)

/** Serves [standin] at `GET /hosts`. */
public fun serveHostList(
    standin: HostListStandin,
    binding: HttpBinding = LOOPBACK,
): StandinServer =
    StandinServer(binding) {
        standin.read().mapBoth(
            { jsonResponse(Json.encodeToString(HostsAnswer(it.live, it.leaving))) },
            { jsonResponse(it.message, Status.SERVICE_UNAVAILABLE) },
        )
    }
