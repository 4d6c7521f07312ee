package lavendertrail.peer

import lavendertrail.model.StepError

/** Thrown when a call to a peer failed. The request may have reached the peer nevertheless. */
public class PeerException(
    public val error: StepError,
    cause: Throwable? = null,
) : RuntimeException(error.toString(), cause)
