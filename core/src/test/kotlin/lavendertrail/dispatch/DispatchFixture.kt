package lavendertrail.dispatch

import kotlinx.collections.immutable.toPersistentMap
import lavendertrail.config.AccountRecord
import lavendertrail.config.ConfigState
import lavendertrail.config.ModelRecord
import lavendertrail.config.OwnerRecord
import lavendertrail.config.ServerKind
import lavendertrail.config.ServerRecord
import lavendertrail.config.ToolRecord
import lavendertrail.membership.NodeRecord
import lavendertrail.model.AccountId
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.FailureDomain
import lavendertrail.model.Message
import lavendertrail.model.ModelId
import lavendertrail.model.NodeId
import lavendertrail.model.OwnerId
import lavendertrail.model.ProgramId
import lavendertrail.model.Refusal
import lavendertrail.model.RegionId
import lavendertrail.model.ServerId
import lavendertrail.model.ServiceClass
import lavendertrail.model.ToolId
import lavendertrail.model.Usage
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.CallAttemptFailed
import lavendertrail.reducer.CallCompleted
import lavendertrail.reducer.CallFirstToken
import lavendertrail.reducer.CancelAttempt
import lavendertrail.reducer.DispatchCall
import lavendertrail.reducer.DispatchFinished
import lavendertrail.reducer.DispatchRequested
import lavendertrail.reducer.Effect
import lavendertrail.reducer.Event
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PromptPrefix
import lavendertrail.reducer.ReducerSettings
import lavendertrail.reducer.ServerLoad
import lavendertrail.reducer.StartAttempt
import lavendertrail.reducer.Tick
import lavendertrail.reducer.TimedEvent

internal val MODEL = ModelId("assist-model")
internal val TOOL = ToolId("permits")
internal val BATINAH = RegionId("batinah")

internal fun server(number: Int): ServerId = ServerId("engine-$number")

internal fun program(name: String): ProgramId = ProgramId("batinah-000-$name")

internal fun engine(
    number: Int,
    maxRunningCalls: Int = 4,
    models: List<ModelId> = listOf(MODEL),
): ServerRecord =
    ServerRecord(
        server(number),
        ServerKind.ENGINE,
        "127.0.0.1:1",
        OwnerId("barakah"),
        BATINAH,
        FailureDomain("sohar"),
        models,
        maxRunningCalls,
    )

internal val TOOL_SERVER =
    ServerRecord(ServerId("tool-1"), ServerKind.TOOL, "127.0.0.1:2", OwnerId("barakah"), BATINAH, FailureDomain("sohar"))

internal fun load(
    running: Int = 0,
    waitingTokens: Int = 0,
    leaving: Boolean = false,
    usedTokens: Long = 0,
    models: List<ModelId> = emptyList(),
    waiting: Int = 0,
): ServerLoad = ServerLoad(running, waiting, waitingTokens, usedTokens, 400_000, leaving, models)

internal fun modelCall(
    program: ProgramId,
    position: Int = 0,
    serviceClass: ServiceClass = ServiceClass.NORMAL,
    repeatable: Boolean = true,
    account: String = "acct",
    owner: String = "barakah",
    fingerprint: String = "fp-$program-$position",
    deadlineMillis: Long = Long.MAX_VALUE / 4,
    promptTokens: Int = 800,
    chain: List<PromptPrefix> = listOf(PromptPrefix("chain-$program-$position", promptTokens)),
): DispatchCall =
    DispatchCall(
        call = CallId(program, position),
        owner = OwnerId(owner),
        account = AccountId(account),
        serviceClass = serviceClass,
        body = CallBody.ModelCall(MODEL, listOf(Message("user", "hello")), maxTokens = 100),
        repeatable = repeatable,
        key = "key-$program-$position",
        deadlineMillis = deadlineMillis,
        programOpenedMillis = 0,
        depth = 0,
        blocksParent = false,
        promptChain = chain,
        promptTokens = promptTokens,
        maxTokens = 100,
        fingerprint = fingerprint,
    )

internal fun toolCall(
    program: ProgramId,
    repeatable: Boolean = false,
): DispatchCall =
    modelCall(program, repeatable = repeatable).copy(body = CallBody.ToolCall(TOOL, "{}"), promptChain = emptyList(), promptTokens = 0)

/** Sends events to the reducer and records its effects and signals. Only [tick] and [nowMillis] advance the time. */
internal class DispatchFixture(
    servers: List<ServerRecord> = (1..4).map { engine(it) },
    settings: DispatchSettings = DispatchSettings(),
    accounts: List<AccountRecord> = emptyList(),
    owners: List<OwnerRecord> = emptyList(),
    private val seed: Long = 7,
) {
    var nowMillis: Long = 1_000_000
    val started: MutableList<StartAttempt> = mutableListOf()
    val finished: MutableList<DispatchFinished> = mutableListOf()
    val effects: MutableList<Effect> = mutableListOf()
    val running: MutableMap<CallId, StartAttempt> = linkedMapOf()
    private var sequence = 0L

    var state: NodeState =
        NodeState(
            self = NodeRecord(NodeId("sohar-1"), BATINAH, FailureDomain("sohar"), "", "", 1, journal = false),
            settings = ReducerSettings(dispatch = settings),
            config =
                ConfigState(
                    owners = owners.associateBy { it.owner }.toPersistentMap(),
                    accounts = accounts.associateBy { it.account }.toPersistentMap(),
                    servers = (servers + TOOL_SERVER).associateBy { it.server }.toPersistentMap(),
                    tools =
                        mapOf(TOOL to ToolRecord(TOOL, listOf(TOOL_SERVER.server), repeatable = false, hasStatusCall = true))
                            .toPersistentMap(),
                    models = mapOf(MODEL to ModelRecord(MODEL)).toPersistentMap(),
                ),
        )

    fun send(event: Event): List<Effect> {
        val step = reduceDispatch(state, TimedEvent(nowMillis, seed + sequence++, event))
        state = step.state
        effects += step.effects
        for (effect in step.effects) {
            if (effect is StartAttempt) {
                started += effect
                running[effect.call] = effect
            }
            if (effect is CancelAttempt && running[effect.call]?.attempt == effect.attempt) running -= effect.call
        }
        step.signals.filterIsInstance<DispatchFinished>().forEach { end ->
            finished += end
            running -= end.call
        }
        return step.effects
    }

    fun request(call: DispatchCall): CallId {
        send(DispatchRequested(call))
        return call.call
    }

    fun firstToken(call: CallId): List<Effect> = send(CallFirstToken(call, running.getValue(call).attempt))

    fun complete(
        call: CallId,
        usage: Usage = Usage(promptTokens = 800, generatedTokens = 50),
        load: ServerLoad? = null,
    ): List<Effect> = send(CallCompleted(call, running.getValue(call).attempt, "answer", usage, load))

    fun fail(
        call: CallId,
        failure: AttemptFailure,
    ): List<Effect> {
        val attempt = running.remove(call) ?: error("call $call is not running")
        return send(CallAttemptFailed(call, attempt.attempt, failure, "injected $failure"))
    }

    /** Advances the time by [millis] and sends a tick every [stepMillis]. */
    fun tick(
        millis: Long = 0,
        stepMillis: Long = 100,
    ) {
        val endMillis = nowMillis + millis
        do {
            nowMillis = minOf(endMillis, nowMillis + stepMillis)
            send(Tick)
        } while (nowMillis < endMillis)
    }

    fun serverOf(call: CallId): ServerId? = running[call]?.server

    fun refusal(call: CallId): Refusal? = (finished.firstOrNull { it.call == call }?.result as? CallResult.Refused)?.refusal

    inline fun <reified T : Effect> last(): T? = effects.filterIsInstance<T>().lastOrNull()
}
