package lavendertrail.experiment

/** One step of a program. Steps run in sequence. */
internal sealed interface PlanStep {
    /** A model call that adds [text] as a user message. */
    data class Chat(
        val text: String,
        val answerTokens: Int,
    ) : PlanStep {
        /** Tokens by which the message extends the prompt; four bytes are one token. */
        val newTokens: Int get() = (text.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN + MESSAGE_TOKENS
    }

    /** A tool call. The program waits until it ends. */
    data class Tool(
        val tool: String,
        val repeatable: Boolean,
    ) : PlanStep

    /** A sub-agent. The program waits until it ends. */
    data class SubAgent(
        val agent: AgentPlan,
    ) : PlanStep

    companion object {
        const val BYTES_PER_TOKEN = 4
        const val MESSAGE_TOKENS = 4
    }
}

/** The part of a program that one assistant runs. The prompts of all agents with the same [sharedText] start with it. */
internal data class AgentPlan(
    val assistant: String,
    val model: String,
    val sharedText: String,
    val steps: List<PlanStep>,
) {
    val sharedTokens: Int get() = sharedText.length / PlanStep.BYTES_PER_TOKEN + PlanStep.MESSAGE_TOKENS

    /** This agent and all its direct and indirect sub-agents. */
    fun withSubAgents(): List<AgentPlan> = listOf(this) + steps.filterIsInstance<PlanStep.SubAgent>().flatMap { it.agent.withSubAgents() }
}

/** A program that arrives [arrivalMillis] after the start of the run, in model time. */
internal data class ProgramPlan(
    val number: Int,
    val arrivalMillis: Long,
    val account: String,
    val token: String,
    val agent: AgentPlan,
)
