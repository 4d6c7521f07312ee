package lavendertrail.api

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lavendertrail.dispatch.PlacementNote
import lavendertrail.dispatch.placementsOf
import lavendertrail.dispatch.poisonMarks
import lavendertrail.history.HistoryRecord
import lavendertrail.journal.JournalStore
import lavendertrail.model.RunOutcome
import lavendertrail.model.Usage
import lavendertrail.peer.SubmitReply
import lavendertrail.peer.SubmitRequest
import lavendertrail.program.CallSummary
import lavendertrail.program.ProgramSummary
import lavendertrail.program.UnresolvedCall
import lavendertrail.program.callSummaries
import lavendertrail.program.programSummaries
import lavendertrail.program.programSummary
import lavendertrail.program.unresolvedCalls
import lavendertrail.reducer.Event
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PoisonLifted
import lavendertrail.reducer.PoisonMark
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

/** Body of `POST /v1/admin/settle`. */
@Serializable
internal data class SettleBody(
    val program: String,
    val position: Int,
    val outcome: RunOutcome,
    val usage: Usage = Usage(),
)

/** Operator routes for programs and this node. Lists cover this node only; the operator's tool queries each node. */
internal class AdminRoutes(
    private val context: RouteContext,
    private val state: () -> NodeState,
    private val journal: JournalStore?,
    private val emit: (Event) -> Unit,
    private val dump: () -> String,
) {
    private val json = Json { encodeDefaults = true }

    val routes: RoutingHttpHandler =
        routes(
            "/v1/admin/dump" bind Method.GET to operator { _, _ -> jsonText(dump()) },
            "/v1/admin/explain/{id}" bind Method.GET to operator { request, _ -> explain(request) },
            "/v1/admin/top" bind Method.GET to operator { request, _ -> listMostExpensive(request) },
            "/v1/admin/unsettled" bind Method.GET to
                operator { _, _ -> listResponse(UnresolvedCall.serializer(), state().unresolvedCalls()) },
            "/v1/admin/settle" bind Method.POST to operator(::settle),
            "/v1/admin/poison" bind Method.GET to
                operator { _, _ -> listResponse(PoisonMark.serializer(), state().poisonMarks(context.clock())) },
            "/v1/admin/poison/{fingerprint}/lift" bind Method.POST to operator(::liftPoisonMark),
            "/v1/admin/bill" bind Method.GET to operator { _, _ -> exportBill() },
        )

    private fun operator(handle: (Request, String) -> Response): (Request) -> Response =
        { request -> handle(request, context.authentication.operator(request)) }

    private fun <T> listResponse(
        serializer: KSerializer<T>,
        values: List<T>,
    ): Response = jsonText(json.encodeToString(ListSerializer(serializer), values))

    /**
     * The history of a program. Its records are read from the owner node; summary, calls and placements come from the state of
     * this node and are only complete at the owner node.
     */
    private fun explain(request: Request): Response {
        val program = context.programOf(request)
        val current = state()
        val history = context.submit(SubmitRequest.History(program)) as SubmitReply.History
        val summary = current.programSummary(program)
        val explanation =
            buildJsonObject {
                put("program", program.value)
                put(
                    "ownerNode",
                    current.membership.partitions[program.partition]
                        ?.record
                        ?.ownerNode
                        ?.value,
                )
                if (summary != null) put("summary", json.encodeToJsonElement(ProgramSummary.serializer(), summary))
                put("calls", json.encodeToJsonElement(ListSerializer(CallSummary.serializer()), current.callSummaries(program)))
                put("placements", json.encodeToJsonElement(ListSerializer(PlacementNote.serializer()), current.placementsOf(program)))
                put("records", JsonArray(history.records.map { it.toJsonWithoutContent() }))
            }
        return jsonText(explanation.toString())
    }

    private fun HistoryRecord.toJsonWithoutContent(): JsonElement =
        json.encodeToJsonElement(HistoryRecord.serializer(), copy(content = null))

    /** Programs of this node with the highest cost. */
    private fun listMostExpensive(request: Request): Response {
        val count = request.query("count")?.toIntOrNull()?.coerceIn(1, MAX_TOP_COUNT) ?: DEFAULT_TOP_COUNT
        val programs = state().programSummaries(Int.MAX_VALUE).sortedByDescending { it.usage.costMicros }
        return listResponse(ProgramSummary.serializer(), programs.take(count))
    }

    private fun settle(
        request: Request,
        operator: String,
    ): Response {
        val body = ApiJson.read(request, SettleBody.serializer(), context.limits.maxJsonDepth)
        if (body.outcome == RunOutcome.MAY_HAVE_RUN) throw badRequest("outcome must be 'run' or 'notRun'")
        val call = context.callId(context.programId(body.program), body.position)
        val settle = SubmitRequest.Settle(call, body.outcome, body.usage, operator)
        val reply = context.router.submit(settle, context.resolveDeadlineMillis(null))
        if (reply is SubmitReply.Refused) throw ApiRefusal(reply.refusal)
        val settled =
            buildJsonObject {
                put("call", call.toString())
                put("settledBy", operator)
            }
        return jsonText(settled.toString())
    }

    private fun liftPoisonMark(
        request: Request,
        operator: String,
    ): Response {
        val fingerprint = request.path("fingerprint").orEmpty()
        if (state().poisonMarks(context.clock()).none { it.fingerprint == fingerprint }) throw notFound("no poison mark '$fingerprint'")
        emit(PoisonLifted(fingerprint))
        return jsonText(
            JsonObject(mapOf("lifted" to json.encodeToJsonElement(fingerprint), "by" to json.encodeToJsonElement(operator))).toString(),
        )
    }

    /**
     * Streams the records of all journal copies on this node without their content, one JSON object per line. Both copies of
     * a journal hold the same records, so a reader of several nodes' exports must drop duplicates by program and sequence.
     */
    private fun exportBill(): Response {
        val store = journal ?: throw notFound("this node has no data directory and therefore no journal")
        return Response(org.http4k.core.Status.OK)
            .header("Content-Type", "application/x-ndjson; charset=utf-8")
            .body(org.http4k.core.Body(BillStream(store), null))
    }

    private companion object {
        const val DEFAULT_TOP_COUNT = 20
        const val MAX_TOP_COUNT = 1_000
    }
}

private inline fun <reified T> Json.encodeToJsonElement(value: T): JsonElement =
    encodeToJsonElement(kotlinx.serialization.serializer<T>(), value)
