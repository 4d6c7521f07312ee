package lavendertrail.experiment

import lavendertrail.standins.ModelGroup
import lavendertrail.standins.PlatformPresets
import lavendertrail.standins.PlatformSettings
import kotlin.random.Random

/** The engines of an owner and the workload that its callers run on them. */
internal class ExperimentPreset(
    val name: String,
    val platform: (seed: Long, timeScale: Double) -> PlatformSettings,
    val shape: (PlatformSettings) -> WorkloadShape,
)

internal val experimentPresets: Map<String, ExperimentPreset> =
    listOf(
        ExperimentPreset(
            "barakah",
            PlatformPresets::barakah,
        ) { WorkloadShape("barakah", capacities(it), LOW_TIDE_BURSTS, 0.5, ::barakahProgram) },
        ExperimentPreset("valdivieso", PlatformPresets::valdivieso) {
            WorkloadShape("valdivieso", capacities(it), emptyList(), 0.0, ::valdiviesoProgram)
        },
    ).associateBy { it.name }

private fun capacities(platform: PlatformSettings): List<ModelCapacity> = platform.owners.flatMap { it.models }.map(::capacityOf)

private fun capacityOf(group: ModelGroup): ModelCapacity {
    val engine = group.engine
    val slowdown = 1 + engine.decodeSlowdownPerCall * (engine.maxRunningCalls - 1)
    return ModelCapacity(
        model = group.model.value,
        prefillTokensPerSecond = group.engines * engine.prefillTokensPerSecond,
        decodeTokensPerSecond = group.engines * engine.maxRunningCalls * engine.decodeTokensPerSecond / slowdown,
    )
}

/** Arrival bursts: permits are renewed before the two low tides of a day. Half of the programs arrive in a fifth of the time. */
private val LOW_TIDE_BURSTS = listOf(0.2..0.3, 0.6..0.7)

/**
 * Three in five programs renew a permit: they read the rules and vessel papers, call the tide table and fee services, and let a
 * sub-agent check the berth. The others are reports over many log pages.
 */
private fun barakahProgram(
    random: Random,
    number: Int,
): ProgramPlan {
    val agent = if (random.nextDouble() < 0.6) renewalAgent(random, number) else reportAgent(random, number)
    val account = if (agent.assistant == "fleet-report") "barakah-night" else "barakah-desk"
    return ProgramPlan(number, 0, account, "$account-token", agent)
}

private fun renewalAgent(
    random: Random,
    number: Int,
): AgentPlan {
    val subAgent =
        AgentPlan(
            "harbour-helper",
            "assist-model",
            sharedText("harbour", random.nextInt(4), 3_000),
            (1..random.nextInt(2, 5)).map { chatStep(random, "berth $number.$it", 400..2_500, 30..60) },
        )
    val steps = mutableListOf<PlanStep>(chatStep(random, "papers $number", 2_000..6_000, 30..60))
    repeat(random.nextInt(2, 6)) { turn ->
        steps += randomTool(random)
        steps += chatStep(random, "renewal $number.$turn", 800..3_000, 30..60)
        if (turn == 1) steps += PlanStep.SubAgent(subAgent)
    }
    return AgentPlan("permit-renewal", "permit-desk", sharedText("rules", random.nextInt(4), 4_000), steps)
}

private fun randomTool(random: Random): PlanStep.Tool =
    when (random.nextInt(4)) {
        0 -> PlanStep.Tool("fee-charge", repeatable = false)
        1 -> PlanStep.Tool("quota-grant", repeatable = false)
        else -> PlanStep.Tool("tide-table", repeatable = true)
    }

private fun reportAgent(
    random: Random,
    number: Int,
): AgentPlan {
    val steps = mutableListOf<PlanStep>(chatStep(random, "log $number", 3_000..8_000, 40..80))
    repeat(random.nextInt(3, 9)) { turn ->
        if (random.nextInt(3) == 0) steps += PlanStep.Tool("tide-table", repeatable = true)
        steps += chatStep(random, "log $number.$turn", 1_000..5_000, 40..80)
    }
    return AgentPlan("fleet-report", "assist-model", sharedText("fleet", random.nextInt(4), 4_000), steps)
}

/** Rework programs have a long history over many turns and scans. Their sub-agents and the stock reports are shorter. */
private fun valdiviesoProgram(
    random: Random,
    number: Int,
): ProgramPlan {
    val agent = if (random.nextDouble() < 0.6) reworkAgent(random, number) else stockAgent(random, number)
    val account = if (agent.assistant == "stock-report") "valdivieso-oficina" else "valdivieso-taller"
    return ProgramPlan(number, 0, account, "$account-token", agent)
}

private fun reworkAgent(
    random: Random,
    number: Int,
): AgentPlan {
    val subAgent =
        AgentPlan(
            "parts-helper",
            "oficina-app",
            sharedText("parts", random.nextInt(4), 4_000),
            (1..random.nextInt(2, 5)).map { chatStep(random, "part $number.$it", 500..3_000, 30..60) },
        )
    val steps = mutableListOf<PlanStep>(chatStep(random, "wall $number", 8_000..20_000, 30..60))
    repeat(random.nextInt(3, 8)) { turn ->
        steps +=
            if (random.nextInt(4) == 0) PlanStep.Tool("wall-scan", repeatable = true) else PlanStep.Tool("hold-order", repeatable = false)
        steps += chatStep(random, "panel $number.$turn", 800..3_000, 30..60)
        if (turn == 1) steps += PlanStep.SubAgent(subAgent)
    }
    return AgentPlan("panel-rework", "taller-llm", sharedText("plan", random.nextInt(4), 6_000), steps)
}

private fun stockAgent(
    random: Random,
    number: Int,
): AgentPlan {
    val steps = mutableListOf<PlanStep>(chatStep(random, "stock $number", 6_000..14_000, 40..80))
    repeat(random.nextInt(3, 8)) { turn ->
        if (random.nextInt(3) == 0) steps += PlanStep.Tool("invoice", repeatable = false)
        steps += chatStep(random, "stock $number.$turn", 2_000..6_000, 40..80)
    }
    return AgentPlan("stock-report", "oficina-app", sharedText("stock", random.nextInt(4), 5_000), steps)
}

private fun chatStep(
    random: Random,
    topic: String,
    tokens: IntRange,
    answerTokens: IntRange,
): PlanStep.Chat {
    val answer = random.nextInt(answerTokens.first, answerTokens.last + 1)
    return PlanStep.Chat(padToTokens("[answer-tokens=$answer] $topic ", random.nextInt(tokens.first, tokens.last + 1)), answer)
}

private fun sharedText(
    topic: String,
    variant: Int,
    tokens: Int,
): String = padToTokens("Shared $topic, edition $variant. ", tokens)

private fun padToTokens(
    start: String,
    tokens: Int,
): String = start.padEnd(tokens * PlanStep.BYTES_PER_TOKEN, '.')
