package lavendertrail.capacity

import kotlinx.serialization.Serializable

/** A quantity measured at several sizes, with the line fitted to the points. */
@Serializable
public data class Measurement(
    public val name: String,
    public val sizeUnit: String,
    public val valueUnit: String,
    public val points: List<MeasuredPoint>,
    public val fit: LinearFit,
)

@Serializable
public data class MeasuredPoint(
    public val size: Int,
    public val value: Double,
)

internal fun measurement(
    name: String,
    sizeUnit: String,
    valueUnit: String,
    values: List<Pair<Int, Double>>,
): Measurement =
    Measurement(
        name = name,
        sizeUnit = sizeUnit,
        valueUnit = valueUnit,
        points = values.map { (size, value) -> MeasuredPoint(size, value) },
        fit = fitLine(values.map { (size, value) -> size.toDouble() to value }),
    )
