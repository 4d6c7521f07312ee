package lavendertrail.serving

import kotlinx.serialization.Serializable

/** The servers that began a stream: a service and the version of their software. Only these may continue it. */
@Serializable
public data class StreamOrigin(
    val service: String,
    val softwareVersion: String,
)

public val BackendServer.streamOrigin: StreamOrigin get() = StreamOrigin(service, softwareVersion)
