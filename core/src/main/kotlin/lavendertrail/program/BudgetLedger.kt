package lavendertrail.program

import lavendertrail.config.ModelRecord
import lavendertrail.model.CallBody
import lavendertrail.model.CallResult
import lavendertrail.model.Message
import lavendertrail.model.ProgramId
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.Usage

/** Why a reservation exceeds a budget. */
internal data class Shortfall(
    val reason: RefusalReason,
    val message: String,
)

/** The program and its ancestors up to the root. A tree of programs is in one partition, so this node knows all of them. */
internal fun ProgramsState.pathToRoot(program: ProgramId): Sequence<Program> =
    generateSequence(programs[program]) { it.parent?.let(programs::get) }

/** A sub-agent's calls are also charged to the budgets of its ancestors, so [reservation] must fit into each of them. */
internal fun ProgramsState.shortfall(
    program: ProgramId,
    reservation: Reservation,
): Shortfall? = pathToRoot(program).firstNotNullOfOrNull { it.shortfall(reservation) }

private fun Program.shortfall(reservation: Reservation): Shortfall? {
    val budget = spec.budget
    val tokens = spend.usage.totalTokens + spend.reservedTokens
    val costMicros = spend.usage.costMicros + spend.reservedCostMicros
    return when {
        spend.turns + reservation.turns > budget.maxTurns -> {
            Shortfall(RefusalReason.TURN_LIMIT, "program $id has used ${spend.turns} of ${budget.maxTurns} turns")
        }

        tokens + reservation.tokens > budget.maxTokens -> {
            Shortfall(
                RefusalReason.BUDGET_EXCEEDED,
                "the call may use ${reservation.tokens} tokens, and program $id has used or reserved $tokens of ${budget.maxTokens}",
            )
        }

        costMicros + reservation.costMicros > budget.maxCostMicros -> {
            Shortfall(
                RefusalReason.BUDGET_EXCEEDED,
                "the call may cost ${reservation.costMicros} micros, and program $id has used or reserved " +
                    "$costMicros of ${budget.maxCostMicros}",
            )
        }

        else -> {
            null
        }
    }
}

internal fun ProgramsState.updateSpend(
    program: ProgramId,
    change: (Spend) -> Spend,
): ProgramsState =
    copy(
        programs =
            pathToRoot(program).fold(programs) { map, member ->
                map.put(member.id, member.copy(spend = change(member.spend)))
            },
    )

internal fun Spend.reserve(reservation: Reservation): Spend =
    copy(
        turns = turns + reservation.turns,
        reservedTokens = reservedTokens + reservation.tokens,
        reservedCostMicros = reservedCostMicros + reservation.costMicros,
    )

/** Replaces [reservation] by the call's usage. The turn of a call that did not run is not counted. */
internal fun Spend.settle(
    reservation: Reservation,
    usage: Usage,
    outcome: RunOutcome,
): Spend =
    copy(
        usage = this.usage + usage,
        turns = if (outcome == RunOutcome.NOT_RUN) turns - reservation.turns else turns,
        reservedTokens = reservedTokens - reservation.tokens,
        reservedCostMicros = reservedCostMicros - reservation.costMicros,
    )

/** Replaces the charge of a call that may have run by its settled usage. */
internal fun Spend.replaceCharge(
    charged: Usage,
    settled: Usage,
): Spend = copy(usage = usage + charged.negated() + settled)

private fun Usage.negated(): Usage =
    Usage(
        promptTokens = -promptTokens,
        cachedTokens = -cachedTokens,
        generatedTokens = -generatedTokens,
        engineMillis = -engineMillis,
        cacheTokenMillis = -cacheTokenMillis,
        toolCalls = -toolCalls,
        costMicros = -costMicros,
    )

/**
 * Upper bound of a message's length in tokens: a byte-level tokenizer produces at most one token per UTF-8 byte, and the
 * chat template adds at most [MESSAGE_OVERHEAD_TOKENS].
 */
internal fun messageTokenBound(message: Message): Long =
    utf8SizeBytes(message.content).toLong() + utf8SizeBytes(message.role) + MESSAGE_OVERHEAD_TOKENS

/**
 * Upper bound of the prompt's length in tokens. One token per byte overestimates typical text by a factor of about four, so
 * the reported prompt length is used for the part of the history that the same model has already processed.
 */
internal fun PromptSize.promptBound(call: CallBody.ModelCall): Long {
    val history = if (measuredModel == call.model) minOf(totalTokenBound, measuredTokens + tokenBoundSinceMeasured) else totalTokenBound
    return history + call.messages.sumOf(::messageTokenBound)
}

internal fun PromptSize.plus(messages: List<Message>): PromptSize {
    val bound = messages.sumOf(::messageTokenBound)
    return copy(totalTokenBound = totalTokenBound + bound, tokenBoundSinceMeasured = tokenBoundSinceMeasured + bound)
}

/** The size after [call] was answered: the engine reported the prompt's length, so only the answer is bounded by its bytes. */
internal fun PromptSize.afterAnswer(
    call: CallBody.ModelCall,
    messages: List<Message>,
    promptTokens: Long,
): PromptSize {
    val grown = plus(messages)
    if (promptTokens <= 0) return grown
    return grown.copy(
        measuredModel = call.model,
        measuredTokens = promptTokens,
        tokenBoundSinceMeasured = messageTokenBound(messages.last()),
    )
}

/** The most that a model call can use: [promptBound] is an upper bound, and the engine stops generating at `maxTokens`. */
internal fun modelReservation(
    call: CallBody.ModelCall,
    promptBound: Long,
    model: ModelRecord,
): Reservation =
    Reservation(
        tokens = promptBound + call.maxTokens,
        // The prices of cached and uncached tokens are rounded up separately, which can add one micro to the price of the sum.
        costMicros =
            maxOf(
                model.costMicros(promptBound, 0, call.maxTokens.toLong()),
                model.costMicros(promptBound, promptBound, call.maxTokens.toLong()),
            ) + 1,
        turns = 1,
    )

/**
 * The usage that is charged for a finished call. Where the actual usage is unknown, the full reservation is charged. The
 * cost is capped at the reserved cost, so that a price change during the call can't exceed the budget.
 */
internal fun chargedUsage(
    entry: CallEntry,
    result: CallResult,
    model: ModelRecord?,
    toolCostMicros: Long?,
): Usage =
    when (result) {
        is CallResult.Answered -> {
            val priced =
                when {
                    model != null -> model.priced(result.usage)
                    toolCostMicros != null -> result.usage.copy(toolCalls = 1, costMicros = toolCostMicros)
                    else -> result.usage
                }
            priced.copy(costMicros = minOf(priced.costMicros, entry.reservation.costMicros))
        }

        is CallResult.Refused -> {
            if (result.refusal.outcome == RunOutcome.NOT_RUN) Usage() else entry.fullReservation()
        }
    }

private fun CallEntry.fullReservation(): Usage =
    Usage(
        promptTokens = reservation.tokens,
        toolCalls = if (kind == CallKind.TOOL) 1 else 0,
        costMicros = reservation.costMicros,
    )
