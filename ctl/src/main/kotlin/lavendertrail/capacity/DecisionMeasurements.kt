package lavendertrail.capacity

private const val WARM_UP_CALLS = 3_000
private const val MEASURED_CALLS = 2_000
private const val TEXT_BYTES = 600
private const val TARGET_SERVERS = 600
private const val TARGET_PROGRAMS = 300

/** Measures processor time and allocation of the decisions of one whole call, by number of programs and of backend servers. */
internal fun measureDecisions(): List<Measurement> {
    warmUp()
    val programs = listOf(75, 150, 300, 600, 1_200).map { it to costPerCall(programs = it, servers = TARGET_SERVERS) }
    val servers = listOf(75, 150, 300, 600, 1_200).map { it to costPerCall(programs = TARGET_PROGRAMS, servers = it) }
    return listOf(
        measurement("decisions of one call, processor time", "programs held", "µs", programs.map { it.first to it.second.cpuMicros }),
        measurement("decisions of one call, allocation", "programs held", "bytes", programs.map { it.first to it.second.allocatedBytes }),
        measurement("decisions of one call, processor time", "backend servers", "µs", servers.map { it.first to it.second.cpuMicros }),
        measurement("decisions of one call, allocation", "backend servers", "bytes", servers.map { it.first to it.second.allocatedBytes }),
        measurement("tick without work, processor time", "programs held", "µs", programs.map { it.first to it.second.tickMicros }),
    )
}

private data class CallCost(
    val cpuMicros: Double,
    val allocatedBytes: Double,
    val tickMicros: Double,
)

private fun warmUp() {
    val driver = DecisionDriver(servers = 100)
    val programs = (1..50).map(driver::openProgram)
    repeat(WARM_UP_CALLS) { driver.runCall(programs[it % programs.size], TEXT_BYTES) }
    repeat(WARM_UP_CALLS) { driver.tick() }
}

private fun costPerCall(
    programs: Int,
    servers: Int,
): CallCost {
    val driver = DecisionDriver(servers)
    val opened = (1..programs).map(driver::openProgram)
    repeat(MEASURED_CALLS) { driver.runCall(opened[it % programs], TEXT_BYTES) }
    val calls = measureThread { repeat(MEASURED_CALLS) { driver.runCall(opened[it % programs], TEXT_BYTES) } }
    val ticks = measureThread { repeat(MEASURED_CALLS) { driver.tick() } }
    return CallCost(
        cpuMicros = calls.cpuNanos / 1_000.0 / MEASURED_CALLS,
        allocatedBytes = calls.allocatedBytes.toDouble() / MEASURED_CALLS,
        tickMicros = ticks.cpuNanos / 1_000.0 / MEASURED_CALLS,
    )
}

/** Measures the live heap of a node's state, by number of programs, turns, backend servers and configuration records. */
internal fun measureHeap(): List<Measurement> {
    // Discard the first reading, which includes objects that earlier measurements left in the frames of this thread.
    heapBytesOf { driverWith(1, 1) }
    return listOf(
        measurement("live heap of the state", "programs of 10 turns", "bytes", heapByPrograms(listOf(100, 200, 400, 800), 10)),
        measurement(
            "live heap of the state, 50 programs",
            "turns of each",
            "bytes",
            listOf(10, 20, 40, 80).map { turns -> turns to heapBytesOf { driverWith(50, turns) } },
        ),
        measurement(
            "live heap of the state, with its records",
            "backend servers",
            "bytes",
            listOf(150, 300, 600, 1_200).map { servers -> servers to heapBytesOf { DecisionDriver(servers) } },
        ),
    )
}

private fun heapByPrograms(
    programs: List<Int>,
    turns: Int,
): List<Pair<Int, Double>> = programs.map { it to heapBytesOf { driverWith(it, turns) } }

private fun driverWith(
    programs: Int,
    turns: Int,
): DecisionDriver {
    val driver = DecisionDriver(servers = 50)
    val opened = (1..programs).map(driver::openProgram)
    repeat(turns) { opened.forEach { program -> driver.runCall(program, TEXT_BYTES) } }
    return driver
}

/**
 * Returns the live heap size of the object that [build] returns, as the difference before and after the object is released.
 * The object is built in a thread of its own, because stale references in the frames of an earlier measurement made
 * differences negative.
 */
private fun heapBytesOf(build: () -> Any): Double {
    val holder = arrayOfNulls<Any>(1)
    Thread { holder[0] = build() }.apply { start() }.join()
    val bytesWithState = liveHeapBytes()
    checkNotNull(holder[0]) { "the state to measure was not built; its thread failed" }
    holder[0] = null
    return (bytesWithState - liveHeapBytes()).toDouble()
}
