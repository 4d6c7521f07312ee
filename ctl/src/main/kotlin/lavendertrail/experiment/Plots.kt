package lavendertrail.experiment

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChartBuilder
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.io.File

private const val WIDTH = 900
private const val HEIGHT = 500

/** Writes two plots: `latency.png` with the share of programs by latency and `wasted.png` with the wasted cache per policy. */
internal fun ExperimentReport.plot(folder: File) {
    val latency =
        XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("Program latency, $preset at load $load")
            .xAxisTitle("seconds of model time")
            .yAxisTitle("share of programs")
            .build()
    policies.filter { it.latencySeconds.isNotEmpty() }.forEach { row ->
        val shares = row.latencySeconds.indices.map { (it + 1.0) / row.latencySeconds.size }
        latency.addSeries(row.name, row.latencySeconds, shares).marker = SeriesMarkers.NONE
    }
    BitmapEncoder.saveBitmap(latency, folder.resolve("latency.png").path, BitmapEncoder.BitmapFormat.PNG)
    val wasted =
        CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("Wasted cache, $preset at load $load")
            .yAxisTitle("percent of prompt tokens")
            .build()
    wasted.addSeries("wasted cache", policies.map { it.name }, policies.map { it.wastedPercent })
    BitmapEncoder.saveBitmap(wasted, folder.resolve("wasted.png").path, BitmapEncoder.BitmapFormat.PNG)
}
