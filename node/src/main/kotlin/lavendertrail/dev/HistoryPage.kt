package lavendertrail.dev

import kotlinx.serialization.Serializable
import lavendertrail.history.HistoryRecord

/** Response body of `GET /v1/programs/{id}/history`. */
@Serializable
internal data class HistoryPage(
    val program: String,
    val records: List<HistoryRecord>,
)
