package lavendertrail.bill

import kotlinx.serialization.Serializable
import lavendertrail.history.GENESIS_HASH
import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.history.computedHash
import lavendertrail.history.sha256Hex
import lavendertrail.model.AccountId
import lavendertrail.model.OwnerId
import lavendertrail.model.ProgramId
import lavendertrail.model.Usage

/**
 * Usage per program, account and owner, with the [faults] found in the underlying records. Records with a fault are not
 * included in the sums.
 */
@Serializable
public data class Bill(
    public val lines: List<BillLine>,
    public val byAccount: Map<AccountId, Usage>,
    public val byOwner: Map<OwnerId, Usage>,
    public val total: Usage,
    public val faults: List<BillFault>,
)

/**
 * Verifies [records] of any number of programs, in any order between programs, and sums up their usage. A settled call
 * counts with the settled usage in place of the reserved one.
 *
 * A chain without its last records is still valid. Only the comparison with a later copy, or with the copy of the other of the
 * two owners ([OwnerId]) that share the system, shows that they are missing.
 *
 * ```kotlin
 * val bill = billOf(records.map(HistoryRecord::withoutContent))
 * check(bill.faults.isEmpty())
 * ```
 */
public fun billOf(records: List<HistoryRecord>): Bill {
    val chains = records.groupBy { it.program }.toSortedMap(compareBy { it.value })
    val faults = chains.flatMap { (program, chain) -> faultsOf(program, chain) }
    val faulty = faults.mapTo(mutableSetOf()) { it.program to it.sequence }
    val lines =
        chains.map { (program, chain) ->
            val distinct = chain.distinctBy { it.sequence }.sortedBy { it.sequence }
            billLine(program, distinct.filter { (it.program to it.sequence) !in faulty || it.isOnlyDuplicated(faults) })
        }
    return Bill(
        lines = lines,
        byAccount = lines.sumBy { it.account },
        byOwner = lines.sumBy { it.owner },
        total = lines.fold(Usage()) { sum, line -> sum + line.usage },
        faults = faults,
    )
}

/** A copy that can be given to the other [OwnerId] and still be verified. */
public fun HistoryRecord.withoutContent(): HistoryRecord = copy(content = null)

/** Changed, missing, duplicate and unlinked records of one program's chain. */
internal fun faultsOf(
    program: ProgramId,
    chain: List<HistoryRecord>,
): List<BillFault> {
    val bySequence = chain.groupBy { it.sequence }.toSortedMap()
    val last = bySequence.lastKey()
    val missing =
        (0..last).filter { it !in bySequence }.map {
            BillFault(program, it, BillFault.Kind.MISSING, "record $it of $program is missing")
        }
    val doubled =
        bySequence.filterValues { it.size > 1 }.map { (sequence, records) ->
            BillFault(program, sequence, BillFault.Kind.DOUBLED, "record $sequence of $program occurs ${records.size} times")
        }
    val changed = chain.filterNot(HistoryRecord::isUnchanged).map { it.changedFault() }
    val unlinked = chain.filter(HistoryRecord::isUnchanged).mapNotNull { it.unlinkedFault(bySequence[it.sequence - 1]) }
    return (missing + doubled + changed + unlinked).distinct().sortedBy { it.sequence }
}

private fun HistoryRecord.isUnchanged(): Boolean = hash == computedHash() && content.let { it == null || sha256Hex(it) == contentSha256 }

private fun HistoryRecord.changedFault(): BillFault =
    BillFault(program, sequence, BillFault.Kind.CHANGED, "record $sequence of $program was changed")

/** The link is checked only if the previous record exists; otherwise that record is reported as missing. */
private fun HistoryRecord.unlinkedFault(previous: List<HistoryRecord>?): BillFault? {
    val linked =
        when {
            sequence == 0 -> previousHash == GENESIS_HASH
            previous == null -> true
            else -> previous.any { it.hash == previousHash || !it.isUnchanged() }
        }
    if (linked) return null
    return BillFault(program, sequence, BillFault.Kind.UNLINKED, "record $sequence of $program does not follow the record before it")
}

private fun HistoryRecord.isOnlyDuplicated(faults: List<BillFault>): Boolean =
    faults.filter { it.program == program && it.sequence == sequence }.all { it.kind == BillFault.Kind.DOUBLED }

private fun billLine(
    program: ProgramId,
    records: List<HistoryRecord>,
): BillLine {
    val opened = records.firstNotNullOfOrNull { it.payload as? HistoryPayload.Opened }
    val usageBySequence = usageByRecord(records)
    return BillLine(
        program = program,
        owner = opened?.spec?.owner,
        account = opened?.spec?.account,
        calls = usageBySequence.size,
        usage = usageBySequence.values.fold(Usage()) { sum, usage -> sum + usage },
    )
}

/** Usage of each finished call by its record's sequence. A position that was refused and reused has several records. */
private fun usageByRecord(records: List<HistoryRecord>): Map<Int, Usage> {
    val usageBySequence = linkedMapOf<Int, Usage>()
    val lastSequenceByPosition = mutableMapOf<Int, Int>()
    for (record in records) {
        when (val payload = record.payload) {
            is HistoryPayload.CallFinished -> {
                usageBySequence[record.sequence] = payload.usage
                lastSequenceByPosition[payload.position] = record.sequence
            }

            is HistoryPayload.Settled -> {
                lastSequenceByPosition[payload.position]?.let { usageBySequence[it] = payload.usage }
            }

            else -> {
                Unit
            }
        }
    }
    return usageBySequence
}

private fun <K : Any> List<BillLine>.sumBy(key: (BillLine) -> K?): Map<K, Usage> =
    filter { key(it) != null }
        .groupBy { checkNotNull(key(it)) }
        .mapValues { (_, lines) -> lines.fold(Usage()) { sum, line -> sum + line.usage } }
