package lavendertrail.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import lavendertrail.http.HttpBinding
import lavendertrail.model.ModelId
import lavendertrail.model.StepError
import lavendertrail.ports.WeightStore
import org.http4k.core.Status

/**
 * An in-process weight store, which [serveWeightStore] exposes over HTTP. At most `slots` downloads run at once, each at
 * [bytesPerSecond]. The default of 1.25 GB/s is the rate of a 10 Gbit/s link.
 */
public class WeightStoreStandin(
    slots: Int = 2,
    private val bytesPerSecond: Long = 1_250_000_000,
    private val timeScale: Double = 1.0,
    private val clock: () -> Long = System::currentTimeMillis,
) : WeightStore {
    private val slotFreeAtMillis = LongArray(slots)

    @Volatile
    public var isDown: Boolean = false

    @Synchronized
    override fun reserveDownload(
        model: ModelId,
        sizeBytes: Long,
    ): Result<Long, StepError> {
        if (isDown) return Err(StepError("weight download", "weight store stand-in", "the service is down"))
        val now = clock()
        val slot = slotFreeAtMillis.indices.minBy { slotFreeAtMillis[it] }
        val start = maxOf(now, slotFreeAtMillis[slot])
        slotFreeAtMillis[slot] = start + (sizeBytes * 1_000.0 / bytesPerSecond / timeScale).toLong()
        return Ok(start - now)
    }

    override fun close(): Unit = Unit
}

@Serializable
private data class DownloadBody(
    val model: String,
    val sizeBytes: Long,
)

@Serializable
private data class DownloadAnswer(
    val waitMillis: Long,
)

/** Serves [standin] at `POST /downloads`. */
public fun serveWeightStore(
    standin: WeightStoreStandin,
    binding: HttpBinding = LOOPBACK,
): StandinServer =
    StandinServer(binding) { request ->
        val body = Json.decodeFromString<DownloadBody>(request.bodyString())
        standin.reserveDownload(ModelId(body.model), body.sizeBytes).mapBoth(
            { jsonResponse(Json.encodeToString(DownloadAnswer(it))) },
            { jsonResponse(it.message, Status.SERVICE_UNAVAILABLE) },
        )
    }
