package lavendertrail.membership

import lavendertrail.history.HistoryRecord
import lavendertrail.model.NodeId

/** The content of a partition's journal, kept until the partition record names [journalNodes]. */
public data class RecoveredJournal(
    public val journalNodes: List<NodeId>,
    public val records: List<HistoryRecord>,
)
