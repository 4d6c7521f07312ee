package lavendertrail.capacity

import kotlinx.serialization.Serializable
import kotlin.math.abs

/** A least-squares line. [spread] is the largest residual of a point relative to its value. */
@Serializable
public data class LinearFit(
    public val intercept: Double,
    public val slope: Double,
    public val spread: Double,
) {
    public fun at(size: Double): Double = intercept + slope * size
}

/**
 * Fits a line to [points], which are pairs of size and value.
 *
 * ```kotlin
 * fitLine(listOf(1.0 to 3.0, 2.0 to 5.0, 3.0 to 7.0))   // intercept 1, slope 2, spread 0
 * ```
 */
public fun fitLine(points: List<Pair<Double, Double>>): LinearFit {
    require(points.map { it.first }.distinct().size >= 2) { "fitting a line needs points of at least two different sizes, was $points" }
    val meanSize = points.map { it.first }.average()
    val meanValue = points.map { it.second }.average()
    val slope = points.sumOf { (x, y) -> (x - meanSize) * (y - meanValue) } / points.sumOf { (x, _) -> (x - meanSize) * (x - meanSize) }
    val intercept = meanValue - slope * meanSize
    val spread = points.maxOf { (x, y) -> if (y == 0.0) 0.0 else abs(y - intercept - slope * x) / abs(y) }
    return LinearFit(intercept, slope, spread)
}
