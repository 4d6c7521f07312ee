package lavendertrail.adapters

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import lavendertrail.model.CallId
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId
import lavendertrail.model.StepError
import lavendertrail.ports.AttemptError
import lavendertrail.ports.CacheEventBatch
import lavendertrail.ports.ExportedCache
import lavendertrail.ports.GenerateRequest
import lavendertrail.ports.Generated
import lavendertrail.ports.ModelEngine
import lavendertrail.reducer.ServerLoad
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request

/** Timeouts of calls to an engine other than `generate`. Loading weights and transferring a cache have longer timeouts. */
public data class EngineLimits(
    public val timeoutMillis: Long = 2_000,
    public val transferTimeoutMillis: Long = 60_000,
    public val loadModelTimeoutMillis: Long = 600_000,
)

/**
 * The model engine [server] at [address] (`ip:port`), accessed by the chat-completions protocol with the extensions that
 * docs/backends.md lists. [unpooled] must open a new connection for each request.
 */
public fun httpModelEngine(
    server: ServerId,
    address: String,
    limits: EngineLimits = EngineLimits(),
    http: HttpHandler = SharedClients.pooled,
    unpooled: HttpHandler = SharedClients.unpooled,
): ModelEngine = HttpModelEngine(server, address, limits, http, unpooled)

/** See [httpModelEngine]. */
internal class HttpModelEngine(
    server: ServerId,
    address: String,
    private val limits: EngineLimits,
    http: HttpHandler,
    unpooled: HttpHandler,
) : ModelEngine {
    private val peer = JsonPeer(server.value, address, http, limits.timeoutMillis)
    private val unpooledPeer = JsonPeer(server.value, address, unpooled, limits.timeoutMillis)

    override fun generate(
        request: GenerateRequest,
        onText: (String) -> Unit,
    ): Result<Generated, AttemptError> = GenerateExchange(peer, unpooledPeer, request, onText).run()

    override fun hasStream(call: CallId): Result<Boolean, StepError> {
        val step = "stream lookup"
        val answer =
            peer.fetch(peer.request(Method.GET, streamPath(call))).getOrElse {
                return Err(peer.error(step, it.message.orEmpty()))
            }
        return when (answer.status) {
            NOT_FOUND -> Ok(false)
            in JsonPeer.SUCCESS -> Ok(true)
            else -> Err(peer.error(step, "status ${answer.status}"))
        }
    }

    override fun cancel(call: CallId): Result<Unit, StepError> = peer.unit("cancel call", peer.request(Method.DELETE, streamPath(call)))

    override fun load(): Result<ServerLoad, StepError> = peer.decode("load report", peer.request(Method.GET, "/load"))

    override fun cacheEvents(afterSequence: Long): Result<CacheEventBatch, StepError> =
        peer
            .decode<CacheEventsBody>("cache events", peer.request(Method.GET, "/cache/events?after=$afterSequence"))
            .map { CacheEventBatch(it.events, it.firstSequence, it.lastSequence, it.incarnation) }

    override fun pin(
        program: ProgramId,
        pinMillis: Long,
    ): Result<Unit, StepError> = peer.unit("pin cache", post("/cache/pins/$program", wireJson.encodeToString(PinBody(pinMillis))))

    override fun release(program: ProgramId): Result<Unit, StepError> =
        peer.unit("release cache", peer.request(Method.DELETE, "/cache/pins/$program"))

    override fun pins(): Result<Set<ProgramId>, StepError> =
        peer
            .decode<PinsBody>("list pins", peer.request(Method.GET, "/cache/pins"))
            .map { body -> body.programs.mapNotNull(ProgramId::parseOrNull).toSet() }

    override fun exportCache(program: ProgramId): Result<ExportedCache, StepError> =
        peerWithTimeout(limits.transferTimeoutMillis)
            .decode<CacheBody>("export cache", post("/cache/export", wireJson.encodeToString(ExportBody(program.value))))
            .map { ExportedCache(program, it.chainHashes, it.tokens) }

    override fun importCache(cache: ExportedCache): Result<Unit, StepError> {
        val body = CacheBody(cache.program.value, cache.chainHashes, cache.tokens)
        return peerWithTimeout(limits.transferTimeoutMillis).unit("import cache", post("/cache/import", wireJson.encodeToString(body)))
    }

    override fun loadModel(
        model: ModelId,
        fencingToken: Long,
    ): Result<Unit, StepError> =
        peerWithTimeout(limits.loadModelTimeoutMillis)
            .unit("load model", post("/models/load", wireJson.encodeToString(LoadModelBody(model.value, fencingToken))))

    override fun close(): Unit = Unit

    private fun peerWithTimeout(timeoutMillis: Long): JsonPeer = peer.withTimeout(timeoutMillis)

    private fun post(
        path: String,
        body: String,
    ): Request = peer.request(Method.POST, path, body)

    private companion object {
        const val NOT_FOUND = 404
    }
}

/** A call id contains a slash, so its two parts are separate path segments. */
internal fun streamPath(call: CallId): String = "/v1/streams/${call.program}/${call.position}"
