package lavendertrail.adapters

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import lavendertrail.model.ModelId
import lavendertrail.model.StepError
import lavendertrail.ports.WeightStore
import org.http4k.core.HttpHandler
import org.http4k.core.Method

/** The platform's store of model weights at [address] (`ip:port`). */
public fun httpWeightStore(
    address: String,
    timeoutMillis: Long = 5_000,
    http: HttpHandler = SharedClients.pooled,
): WeightStore = HttpWeightStore(JsonPeer("weight store $address", address, http, timeoutMillis))

/** See [httpWeightStore]. */
internal class HttpWeightStore(
    private val peer: JsonPeer,
) : WeightStore {
    override fun reserveDownload(
        model: ModelId,
        sizeBytes: Long,
    ): Result<Long, StepError> {
        val body = wireJson.encodeToString(DownloadBody(model.value, sizeBytes))
        return peer
            .decode<DownloadAnswer>("weight download", peer.request(Method.POST, "/downloads", body))
            .map { it.waitMillis }
    }

    override fun close(): Unit = Unit

    @Serializable
    private data class DownloadBody(
        val model: String,
        val sizeBytes: Long,
    )

    @Serializable
    private data class DownloadAnswer(
        val waitMillis: Long,
    )
}
