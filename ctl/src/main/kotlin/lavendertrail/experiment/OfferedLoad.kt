package lavendertrail.experiment

import kotlin.math.max

/** The total capacity of the engines of a model, per second of model time. */
internal data class ModelCapacity(
    val model: String,
    val prefillTokensPerSecond: Double,
    val decodeTokensPerSecond: Double,
)

/**
 * Sums up the load that programs offer to each model. An engine runs prefill and decode in the same steps, so the load of a model
 * is the larger of two shares: prompt tokens over prefill capacity, and answer tokens over the decode capacity of full batches.
 * Prompt tokens are counted as with a perfect cache, each history and each shared text once. This is a lower bound for every
 * policy; tokens that a policy computes again are additional work.
 */
internal class OfferedLoad(
    private val capacities: List<ModelCapacity>,
    private val windowMillis: Long,
) {
    private val promptTokens = mutableMapOf<String, Long>()
    private val answerTokens = mutableMapOf<String, Long>()
    private val sharedTexts = mutableSetOf<String>()

    fun add(program: ProgramPlan) {
        program.agent.withSubAgents().forEach { agent ->
            val chats = agent.steps.filterIsInstance<PlanStep.Chat>()
            val shared = if (sharedTexts.add(agent.model + agent.sharedText)) agent.sharedTokens else 0
            promptTokens.merge(agent.model, shared + chats.sumOf { it.newTokens }.toLong(), Long::plus)
            answerTokens.merge(agent.model, chats.sumOf { it.answerTokens }.toLong(), Long::plus)
        }
    }

    /** The load of each model as a share of its capacity. */
    fun loadByModel(): Map<String, Double> = capacities.associate { it.model to loadOf(it) }

    fun maxLoad(): Double = capacities.maxOf(::loadOf)

    private fun loadOf(capacity: ModelCapacity): Double {
        val seconds = windowMillis / 1_000.0
        return max(
            (promptTokens[capacity.model] ?: 0) / (capacity.prefillTokensPerSecond * seconds),
            (answerTokens[capacity.model] ?: 0) / (capacity.decodeTokensPerSecond * seconds),
        )
    }
}
