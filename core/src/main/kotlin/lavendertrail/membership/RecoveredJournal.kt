package lavendertrail.membership

import lavendertrail.history.HistoryRecord
import lavendertrail.model.NodeId

/** The recovered records of a partition's journal, held until the partition record names [journalNodes]. */
public data class RecoveredJournal(
    public val journalNodes: List<NodeId>,
    public val records: List<HistoryRecord>,
)
