package lavendertrail.program

import lavendertrail.config.ModelRecord
import lavendertrail.model.CallBody
import lavendertrail.model.CallResult
import lavendertrail.model.Message
import lavendertrail.model.ProgramId
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.Usage

/** Why a reservation does not fit. */
internal data class Shortfall(
    val reason: RefusalReason,
    val message: String,
)

/** The program and its ancestors up to the root. All of them belong to one partition, so all are known here. */
internal fun ProgramsState.pathToRoot(program: ProgramId): Sequence<Program> =
    generateSequence(programs[program]) { it.parent?.let(programs::get) }

/** A sub-agent draws on the budget of each of its ancestors too, so [reservation] must fit into all of them. */
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

internal fun ProgramsState.changeSpend(
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

/** Replaces [reservation] by what the call used. A call that did not run gives its turn back. */
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

/** Replaces what was charged for a call that may have run. */
internal fun Spend.recharge(
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
 * Upper bound of a message's tokens: tokenizers that work on bytes give at most one token per byte of UTF-8, and a chat
 * template adds at most [MESSAGE_OVERHEAD_TOKENS].
 */
internal fun messageTokenBound(message: Message): Long =
    utf8Bytes(message.content).toLong() + utf8Bytes(message.role) + MESSAGE_OVERHEAD_TOKENS

/**
 * Upper bound of the prompt's tokens. One token per byte is about four times what texts really need, so the part of the
 * history that this model has already reported is taken as reported.
 */
internal fun PromptSize.promptBound(call: CallBody.ModelCall): Long {
    val history = if (measuredModel == call.model) minOf(boundAll, measuredTokens + boundSince) else boundAll
    return history + call.messages.sumOf(::messageTokenBound)
}

internal fun PromptSize.plus(messages: List<Message>): PromptSize {
    val bound = messages.sumOf(::messageTokenBound)
    return copy(boundAll = boundAll + bound, boundSince = boundSince + bound)
}

/** After an answer of [call]: the engine has reported the prompt's length, so only the answer counts by its bytes. */
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
        boundSince = messageTokenBound(messages.last()),
    )
}

/** The engine stops at `maxTokens`, and [promptBound] is an upper bound, so a call never uses more than this. */
internal fun modelReservation(
    call: CallBody.ModelCall,
    promptBound: Long,
    model: ModelRecord,
): Reservation =
    Reservation(
        tokens = promptBound + call.maxTokens,
        // Cached and uncached tokens are rounded up separately, which can add one micro to the unsplit price.
        costMicros =
            maxOf(
                model.costMicros(promptBound, 0, call.maxTokens.toLong()),
                model.costMicros(promptBound, promptBound, call.maxTokens.toLong()),
            ) + 1,
        turns = 1,
    )

/**
 * What is charged for a finished call. Where the use can't be known, the whole reservation is charged. The price never
 * exceeds the reserved one, so a price change while the call ran can't exceed the budget.
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
            if (result.refusal.outcome == RunOutcome.NOT_RUN) Usage() else entry.wholeReservation()
        }
    }

private fun CallEntry.wholeReservation(): Usage =
    Usage(
        promptTokens = reservation.tokens,
        toolCalls = if (kind == CallKind.TOOL) 1 else 0,
        costMicros = reservation.costMicros,
    )
