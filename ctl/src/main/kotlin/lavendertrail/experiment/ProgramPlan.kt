package lavendertrail.experiment

/** One step of a program. Steps run one after the other. */
internal sealed interface PlanStep {
    /** A model call with [text] as its new message. */
    data class Chat(
        val text: String,
        val answerTokens: Int,
    ) : PlanStep {
        /** Tokens that the prompt grows by before the answer; four bytes are one token. */
        val newTokens: Int get() = (text.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN + MESSAGE_TOKENS
    }

    /** A tool call; the program pauses until it ends. */
    data class Tool(
        val tool: String,
        val repeatable: Boolean,
    ) : PlanStep

    /** A sub-agent that the program waits for. */
    data class SubAgent(
        val agent: AgentPlan,
    ) : PlanStep

    companion object {
        const val BYTES_PER_TOKEN = 4
        const val MESSAGE_TOKENS = 4
    }
}

/** The part of a program that one assistant runs. Agents with the same [sharedText] share that start of their prompts. */
internal data class AgentPlan(
    val assistant: String,
    val model: String,
    val sharedText: String,
    val steps: List<PlanStep>,
) {
    val sharedTokens: Int get() = sharedText.length / PlanStep.BYTES_PER_TOKEN + PlanStep.MESSAGE_TOKENS

    /** This agent and all below it. */
    fun all(): List<AgentPlan> = listOf(this) + steps.filterIsInstance<PlanStep.SubAgent>().flatMap { it.agent.all() }
}

/** A program that arrives [arrivalMillis] after the begin, in the time of the models. */
internal data class ProgramPlan(
    val number: Int,
    val arrivalMillis: Long,
    val account: String,
    val token: String,
    val agent: AgentPlan,
)
