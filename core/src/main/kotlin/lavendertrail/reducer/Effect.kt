package lavendertrail.reducer

/** Work that a step asks the runner to do. Each effect ends in at least one [Event], also when it fails. */
public sealed interface Effect
