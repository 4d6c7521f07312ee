package lavendertrail.capacity

/** Runs all capacity measurements, which takes about two minutes and less than 1 GB of memory. */
public fun measureCapacity(onProgress: (String) -> Unit = {}): CapacityReport {
    onProgress("decisions")
    val decisions = measureDecisions()
    onProgress("heap")
    val heap = measureHeap()
    onProgress("fleet of up to 420 nodes")
    val fleet = measureFleet()
    onProgress("failures")
    val failures = measureFailures()
    return CapacityReport("decisions over programs and servers, heap, fleets of 30 to 420 nodes", decisions + heap + fleet, failures)
}
