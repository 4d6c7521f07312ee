package lavendertrail.reducer

/** The outcome of one step: the next [state], [effects] for the runner, [signals] for the other sub-reducers. */
public data class Step(
    public val state: NodeState,
    public val effects: List<Effect> = emptyList(),
    public val signals: List<Signal> = emptyList(),
)
