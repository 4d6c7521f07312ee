package lavendertrail.experiment

import kotlin.math.max

/** What the engines of a model can do together in one second of their time. */
internal data class ModelCapacity(
    val model: String,
    val prefillTokensPerSecond: Double,
    val decodeTokensPerSecond: Double,
)

/**
 * The load that programs offer. An engine computes prompts and generates in the same steps, so the load of a model is
 * the larger of two shares: prompt tokens over prefill capacity, and answer tokens over the decode capacity of full
 * batches. Prompt tokens are counted as with a perfect cache, each history and each shared text once, so that no policy
 * can have less work than this; what a policy computes again comes on top.
 */
internal class DemandSum(
    private val capacities: List<ModelCapacity>,
    private val windowMillis: Long,
) {
    private val promptTokens = mutableMapOf<String, Long>()
    private val answerTokens = mutableMapOf<String, Long>()
    private val sharedTexts = mutableSetOf<String>()

    fun add(program: ProgramPlan) {
        program.agent.all().forEach { agent ->
            val chats = agent.steps.filterIsInstance<PlanStep.Chat>()
            val shared = if (sharedTexts.add(agent.model + agent.sharedText)) agent.sharedTokens else 0
            promptTokens.merge(agent.model, shared + chats.sumOf { it.newTokens }.toLong(), Long::plus)
            answerTokens.merge(agent.model, chats.sumOf { it.answerTokens }.toLong(), Long::plus)
        }
    }

    fun loads(): Map<String, Double> = capacities.associate { it.model to loadOf(it) }

    fun highest(): Double = capacities.maxOf(::loadOf)

    private fun loadOf(capacity: ModelCapacity): Double {
        val seconds = windowMillis / 1_000.0
        return max(
            (promptTokens[capacity.model] ?: 0) / (capacity.prefillTokensPerSecond * seconds),
            (answerTokens[capacity.model] ?: 0) / (capacity.decodeTokensPerSecond * seconds),
        )
    }
}
