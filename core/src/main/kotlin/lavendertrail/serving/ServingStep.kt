package lavendertrail.serving

/** The outcome of one event: the next [state], and [effects] in execution order. */
public class ServingStep(
    public val state: ServingState,
    public val effects: List<ServingEffect>,
)
