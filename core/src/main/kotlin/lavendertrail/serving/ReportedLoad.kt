package lavendertrail.serving

/** Numbers of running and waiting requests that a backend server reported with an answer. */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)
