package lavendertrail.serving

/** A service that runs on interchangeable backend servers. [engine] is null for plain services. */
public data class ServiceSpec(
    val name: String,
    val healthPath: String,
    val maxConnectionsPerServer: Int,
    val engine: EngineSpec? = null,
)
