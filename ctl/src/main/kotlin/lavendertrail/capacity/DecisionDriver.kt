package lavendertrail.capacity

import lavendertrail.membership.MembershipSettings
import lavendertrail.membership.NodeRecord
import lavendertrail.model.AccountId
import lavendertrail.model.Budget
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.FailureDomain
import lavendertrail.model.Message
import lavendertrail.model.ModelId
import lavendertrail.model.NodeId
import lavendertrail.model.OwnerId
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.model.ProgramSpec
import lavendertrail.model.RegionId
import lavendertrail.model.ServiceClass
import lavendertrail.model.Usage
import lavendertrail.model.programId
import lavendertrail.reducer.AnswerCall
import lavendertrail.reducer.AppendHistory
import lavendertrail.reducer.CallCompleted
import lavendertrail.reducer.CallFirstToken
import lavendertrail.reducer.CallSubmitted
import lavendertrail.reducer.ConfigRecordsReceived
import lavendertrail.reducer.Effect
import lavendertrail.reducer.Event
import lavendertrail.reducer.HistoryAppended
import lavendertrail.reducer.NodeRecordsRead
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PartitionRecovered
import lavendertrail.reducer.PartitionSwapEnded
import lavendertrail.reducer.ProgramOpenRequested
import lavendertrail.reducer.RecoverPartition
import lavendertrail.reducer.ReducerSettings
import lavendertrail.reducer.StartAttempt
import lavendertrail.reducer.StoredRecord
import lavendertrail.reducer.SwapPartition
import lavendertrail.reducer.Tick
import lavendertrail.reducer.TimedEvent
import lavendertrail.reducer.reduce

/**
 * Drives the reducer of one node through whole calls without I/O: journal appends are acknowledged and attempts completed at
 * once. The cost of a run is therefore that of the reducer's decisions alone.
 */
internal class DecisionDriver(
    servers: Int,
    partitions: Int = 4,
) {
    private val settings = ReducerSettings(membership = MembershipSettings(partitionsInUse = partitions, journalCopies = 1))
    private val self = NodeRecord(NodeId("node-1"), REGION, FailureDomain("domain-1"), "10.0.0.1:7400", "10.0.0.1:7401", 1, journal = true)
    private val pending = ArrayDeque<Event>()
    private val nextPosition = mutableMapOf<ProgramId, Int>()
    var state = NodeState(self, settings)
        private set
    var nowMillis = 1_800_000_000_000L
        private set
    var steps = 0L
        private set
    var answeredCalls = 0L
        private set

    init {
        process(ConfigRecordsReceived(configuration(servers), servers + 10L, "measurement"))
        process(NodeRecordsRead(listOf(self)))
        repeat(SETTLE_TICKS) { tick() }
        check(
            state.membership.owned.values
                .count { it.isActive } == partitions,
        ) { "expected $partitions active partitions, was: ${state.membership.owned}" }
    }

    fun tick() {
        nowMillis += TICK_MILLIS
        process(Tick)
    }

    fun openProgram(number: Int): ProgramId {
        val program = programId(REGION, PartitionId(number % settings.membership.partitionsInUse), "p$number")
        val budget = Budget(10_000_000_000, 1_000_000_000_000, 1_000_000, 864_000_000)
        process(ProgramOpenRequested(number.toLong(), program, ProgramSpec(OWNER, ACCOUNT, "desk", ServiceClass.NORMAL, budget)))
        nextPosition[program] = 0
        return program
    }

    /** Runs one call of [program] from its submission to its answer. */
    fun runCall(
        program: ProgramId,
        textBytes: Int,
    ) {
        val position = nextPosition.getValue(program)
        nextPosition[program] = position + 1
        val body = CallBody.ModelCall(MODEL, listOf(Message("user", "x".repeat(textBytes))), maxTokens = 256)
        val request = CallRequest(CallId(program, position), ACCOUNT, body, repeatable = true, deadlineMillis = nowMillis + 600_000)
        val answeredBefore = answeredCalls
        process(CallSubmitted(1, request))
        check(answeredCalls == answeredBefore + 1) { "call ${request.call} was not answered at once" }
    }

    private fun process(event: Event) {
        pending += event
        while (pending.isNotEmpty()) {
            steps++
            val step = reduce(state, TimedEvent(nowMillis, nowMillis + steps, pending.removeFirst()))
            state = step.state
            step.effects.forEach(::perform)
        }
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is SwapPartition -> pending += PartitionSwapEnded(effect.partition, true, effect.record, effect.expectedRevision + 1)
            is RecoverPartition -> pending += PartitionRecovered(effect.partition, effect.epoch, effect.journalNodes, emptyList())
            is AppendHistory -> pending += HistoryAppended(effect.partition, effect.epoch, effect.appendId)
            is StartAttempt -> completeAttempt(effect)
            is AnswerCall -> answeredCalls++
            else -> Unit
        }
    }

    private fun completeAttempt(effect: StartAttempt) {
        pending += CallFirstToken(effect.call, effect.attempt)
        pending += CallCompleted(effect.call, effect.attempt, ANSWER, Usage(promptTokens = 400, cachedTokens = 300, generatedTokens = 231))
    }

    private fun configuration(servers: Int): List<StoredRecord> =
        listOf(
            record("owner", "barakah", """"owner":"barakah","region":"region","weight":1"""),
            record("account", "desk", """"account":"desk","owner":"barakah","maxRunningCalls":100000"""),
            record("model", "model-1", """"model":"model-1""""),
        ) + (1..servers).map { engineRecord(it) }

    private fun engineRecord(number: Int): StoredRecord {
        val model = if (number <= SERVERS_PER_MODEL) "model-1" else "model-${1 + number / SERVERS_PER_MODEL}"
        return record(
            "server",
            "engine-$number",
            """"server":"engine-$number","kind":"engine","address":"10.1.${number / 250}.${number % 250}:8000","owner":"barakah",""" +
                """"region":"region","failureDomain":"domain-${number % 4}","models":["$model"]""",
            revision = 10L + number,
        )
    }

    private fun record(
        kind: String,
        name: String,
        fields: String,
        revision: Long = 1,
    ) = StoredRecord(kind, name, """{"schemaVersion":1,$fields}""", revision)

    companion object {
        const val TICK_MILLIS = 100L
        private const val SETTLE_TICKS = 40

        /** 600 servers serve 13 models. */
        private const val SERVERS_PER_MODEL = 46
        private val REGION = RegionId("region")
        private val OWNER = OwnerId("barakah")
        private val ACCOUNT = AccountId("desk")
        private val MODEL = ModelId("model-1")

        /** 231 tokens of 4 bytes each, which is 880,000 tokens/s divided by 3,800 requests/s. */
        private val ANSWER = "word ".repeat(185)
    }
}
