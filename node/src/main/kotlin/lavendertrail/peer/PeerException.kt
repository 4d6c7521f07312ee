package lavendertrail.peer

import lavendertrail.model.StepError

/** A call to a peer failed. The request may have arrived nevertheless. */
public class PeerException(
    public val error: StepError,
    cause: Throwable? = null,
) : RuntimeException(error.toString(), cause)
