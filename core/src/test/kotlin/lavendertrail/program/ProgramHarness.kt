package lavendertrail.program

import kotlinx.collections.immutable.persistentMapOf
import lavendertrail.config.ConfigState
import lavendertrail.config.ModelRecord
import lavendertrail.config.ToolRecord
import lavendertrail.history.HistoryRecord
import lavendertrail.membership.NodeRecord
import lavendertrail.model.AccountId
import lavendertrail.model.Budget
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.CallResult
import lavendertrail.model.FailureDomain
import lavendertrail.model.Message
import lavendertrail.model.ModelId
import lavendertrail.model.NodeId
import lavendertrail.model.OwnerId
import lavendertrail.model.ProgramId
import lavendertrail.model.ProgramSpec
import lavendertrail.model.Refusal
import lavendertrail.model.RegionId
import lavendertrail.model.ServiceClass
import lavendertrail.model.ToolId
import lavendertrail.model.Usage
import lavendertrail.reducer.AnswerCall
import lavendertrail.reducer.AppendHistory
import lavendertrail.reducer.CallSubmitted
import lavendertrail.reducer.DispatchCall
import lavendertrail.reducer.DispatchFinished
import lavendertrail.reducer.DispatchRequested
import lavendertrail.reducer.Effect
import lavendertrail.reducer.Event
import lavendertrail.reducer.HistoryAppended
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PartitionAcquired
import lavendertrail.reducer.ProgramOpenRequested
import lavendertrail.reducer.ReducerSettings
import lavendertrail.reducer.RefuseRequest
import lavendertrail.reducer.Signal
import lavendertrail.reducer.TimedEvent

internal val root = ProgramId("batinah-02a-7f3c")
internal val account = AccountId("permits")
internal val model = ModelId("assist-model")
internal val pay = ToolId("pay")
internal val search = ToolId("search")
internal val book = ToolId("book")

internal val testConfig =
    ConfigState(
        models = persistentMapOf(model to ModelRecord(model)),
        tools =
            persistentMapOf(
                pay to ToolRecord(pay, emptyList(), repeatable = false, costMicros = 100),
                search to ToolRecord(search, emptyList(), repeatable = true, costMicros = 10),
                book to ToolRecord(book, emptyList(), repeatable = false, hasStatusCall = true, costMicros = 100),
            ),
    )

internal fun spec(
    budget: Budget = Budget(100_000, 1_000_000, 50, 3_600_000),
    deadlineMillis: Long? = null,
): ProgramSpec = ProgramSpec(OwnerId("barakah"), account, "desk", ServiceClass.NORMAL, budget, deadlineMillis = deadlineMillis)

internal fun ask(
    text: String,
    maxTokens: Int = 10,
): CallBody = CallBody.ModelCall(model, listOf(Message("user", text)), maxTokens)

internal fun callOf(
    position: Int,
    body: CallBody = ask("question $position"),
    program: ProgramId = root,
    key: String? = null,
    deadlineMillis: Long = 60_000,
): CallRequest = CallRequest(CallId(program, position), account, body, key == null, key, deadlineMillis)

internal fun answered(
    text: String,
    promptTokens: Long = 20,
    generatedTokens: Long = 5,
): CallResult = CallResult.Answered(text, Usage(promptTokens = promptTokens, generatedTokens = generatedTokens))

/** Sends events to [reducePrograms] and collects its effects, signals and records. Appends are acknowledged on request only. */
internal class ProgramHarness(
    settings: ProgramSettings = ProgramSettings(),
    config: ConfigState = testConfig,
) {
    var nowMillis = 1_000L
    var state = NodeState(testNode, ReducerSettings(programs = settings), config = config)
    val effects = mutableListOf<Effect>()
    val signals = mutableListOf<Signal>()
    val journal = mutableListOf<HistoryRecord>()
    private val unacknowledged = mutableListOf<AppendHistory>()

    fun send(event: Event): ProgramHarness {
        val step = reducePrograms(state, TimedEvent(nowMillis, 1, event))
        state = step.state
        effects += step.effects
        signals += step.signals
        unacknowledged += step.effects.filterIsInstance<AppendHistory>()
        return this
    }

    /** Acknowledges all appends, including those that are caused by an acknowledgement. */
    fun acknowledge(): ProgramHarness {
        while (unacknowledged.isNotEmpty()) {
            val append = unacknowledged.removeFirst()
            journal += append.records
            send(HistoryAppended(append.partition, append.epoch, append.appendId))
        }
        return this
    }

    fun acquire(
        records: List<HistoryRecord> = emptyList(),
        epoch: Long = 1,
    ): ProgramHarness = apply { journal += records }.send(PartitionAcquired(root.partition, epoch, records))

    fun open(spec: ProgramSpec = spec()): ProgramHarness = acquire().send(ProgramOpenRequested(1, root, spec)).acknowledge()

    fun submit(
        requestId: Long,
        request: CallRequest,
    ): ProgramHarness = send(CallSubmitted(requestId, request)).acknowledge()

    fun finish(
        call: CallId,
        result: CallResult,
    ): ProgramHarness = send(DispatchFinished(call, result, 1)).acknowledge()

    fun dispatched(): List<DispatchCall> = signals.filterIsInstance<DispatchRequested>().map { it.call }

    fun answers(requestId: Long): List<CallResult> =
        effects
            .filterIsInstance<AnswerCall>()
            .filter {
                it.requestId == requestId
            }.map { it.result }

    fun refusal(requestId: Long): Refusal =
        effects.filterIsInstance<RefuseRequest>().singleOrNull { it.requestId == requestId }?.refusal
            ?: (answers(requestId).single() as CallResult.Refused).refusal
}

private val testNode =
    NodeRecord(NodeId("sohar-1"), RegionId("batinah"), FailureDomain("sohar"), "127.0.0.1:1", "127.0.0.1:2", 1, journal = true)
