package lavendertrail.experiment

import lavendertrail.standins.ModelGroup
import lavendertrail.standins.PlatformPresets
import lavendertrail.standins.PlatformSettings
import kotlin.random.Random

/** An owner's engines and what its callers run on them. */
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
        ) { WorkloadShape("barakah", capacities(it), LOW_TIDES, 0.5, ::barakahProgram) },
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

/** Permits are renewed before the two low tides of a day; half of the programs arrive in a fifth of the time. */
private val LOW_TIDES = listOf(0.2..0.3, 0.6..0.7)

/**
 * Renewals read the rules and vessel papers, ask tide table and fee service, and let a helper check the berth. Two in
 * five programs are reports over many log pages.
 */
private fun barakahProgram(
    random: Random,
    number: Int,
): ProgramPlan {
    val agent = if (random.nextDouble() < 0.6) renewal(random, number) else report(random, number)
    val account = if (agent.assistant == "fleet-report") "barakah-night" else "barakah-desk"
    return ProgramPlan(number, 0, account, "$account-token", agent)
}

private fun renewal(
    random: Random,
    number: Int,
): AgentPlan {
    val helper =
        AgentPlan(
            "harbour-helper",
            "assist-model",
            shared("harbour", random.nextInt(4), 3_000),
            (1..random.nextInt(2, 5)).map { chat(random, "berth $number.$it", 400..2_500, 30..60) },
        )
    val steps = mutableListOf<PlanStep>(chat(random, "papers $number", 2_000..6_000, 30..60))
    repeat(random.nextInt(2, 6)) { turn ->
        steps += tool(random)
        steps += chat(random, "renewal $number.$turn", 800..3_000, 30..60)
        if (turn == 1) steps += PlanStep.SubAgent(helper)
    }
    return AgentPlan("permit-renewal", "permit-desk", shared("rules", random.nextInt(4), 4_000), steps)
}

private fun tool(random: Random): PlanStep.Tool =
    when (random.nextInt(4)) {
        0 -> PlanStep.Tool("fee-charge", repeatable = false)
        1 -> PlanStep.Tool("quota-grant", repeatable = false)
        else -> PlanStep.Tool("tide-table", repeatable = true)
    }

private fun report(
    random: Random,
    number: Int,
): AgentPlan {
    val steps = mutableListOf<PlanStep>(chat(random, "log $number", 3_000..8_000, 40..80))
    repeat(random.nextInt(3, 9)) { turn ->
        if (random.nextInt(3) == 0) steps += PlanStep.Tool("tide-table", repeatable = true)
        steps += chat(random, "log $number.$turn", 1_000..5_000, 40..80)
    }
    return AgentPlan("fleet-report", "assist-model", shared("fleet", random.nextInt(4), 4_000), steps)
}

/** Reworks carry the history of a wall through many turns and scans; parts helpers and stock reports are shorter. */
private fun valdiviesoProgram(
    random: Random,
    number: Int,
): ProgramPlan {
    val agent = if (random.nextDouble() < 0.6) rework(random, number) else stock(random, number)
    val account = if (agent.assistant == "stock-report") "valdivieso-oficina" else "valdivieso-taller"
    return ProgramPlan(number, 0, account, "$account-token", agent)
}

private fun rework(
    random: Random,
    number: Int,
): AgentPlan {
    val helper =
        AgentPlan(
            "parts-helper",
            "oficina-app",
            shared("parts", random.nextInt(4), 4_000),
            (1..random.nextInt(2, 5)).map { chat(random, "part $number.$it", 500..3_000, 30..60) },
        )
    val steps = mutableListOf<PlanStep>(chat(random, "wall $number", 8_000..20_000, 30..60))
    repeat(random.nextInt(3, 8)) { turn ->
        steps +=
            if (random.nextInt(4) == 0) PlanStep.Tool("wall-scan", repeatable = true) else PlanStep.Tool("hold-order", repeatable = false)
        steps += chat(random, "panel $number.$turn", 800..3_000, 30..60)
        if (turn == 1) steps += PlanStep.SubAgent(helper)
    }
    return AgentPlan("panel-rework", "taller-llm", shared("plan", random.nextInt(4), 6_000), steps)
}

private fun stock(
    random: Random,
    number: Int,
): AgentPlan {
    val steps = mutableListOf<PlanStep>(chat(random, "stock $number", 6_000..14_000, 40..80))
    repeat(random.nextInt(3, 8)) { turn ->
        if (random.nextInt(3) == 0) steps += PlanStep.Tool("invoice", repeatable = false)
        steps += chat(random, "stock $number.$turn", 2_000..6_000, 40..80)
    }
    return AgentPlan("stock-report", "oficina-app", shared("stock", random.nextInt(4), 5_000), steps)
}

private fun chat(
    random: Random,
    topic: String,
    tokens: IntRange,
    answerTokens: IntRange,
): PlanStep.Chat {
    val answer = random.nextInt(answerTokens.first, answerTokens.last + 1)
    return PlanStep.Chat(filled("[answer-tokens=$answer] $topic ", random.nextInt(tokens.first, tokens.last + 1)), answer)
}

private fun shared(
    topic: String,
    variant: Int,
    tokens: Int,
): String = filled("Shared $topic, edition $variant. ", tokens)

private fun filled(
    start: String,
    tokens: Int,
): String = start.padEnd(tokens * PlanStep.BYTES_PER_TOKEN, '.')
