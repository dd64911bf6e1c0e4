package fennelthread.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws each slope of docs/scale/slopes.json: its points and its line. */
@EnabledIfSystemProperty(named = "slopes.plots", matches = ".+")
class PlotsTest {
  private static final int WIDTH = 480;
  private static final int HEIGHT = 320;

  @Test
  void draw() throws IOException {
    Path folder = Path.of(System.getProperty("slopes.plots"));
    Files.createDirectories(folder);
    int drawn = 0;
    for (Slope slope : SlopeCatalogue.load(Path.of("docs/scale/slopes.json")).all()) {
      if (slope.points().stream().anyMatch(p -> p.value() != 0)) {
        Path file = folder.resolve(slope.id().replace('/', '.'));
        VectorGraphicsEncoder.saveVectorGraphic(
            chart(slope), file.toString(), VectorGraphicsFormat.SVG);
        drawn++;
      }
    }
    assertTrue(drawn > 0);
    System.out.println(drawn + " plots");
  }

  private static XYChart chart(Slope slope) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(slope.role() + ": " + slope.quantity().id())
            .xAxisTitle(slope.cause())
            .yAxisTitle(slope.quantity().unit())
            .build();
    chart.getStyler().setLegendVisible(false);
    List<Double> counts = slope.points().stream().map(LinearFit.Point::count).sorted().toList();
    LinearFit fit = slope.fit();
    XYSeries line = chart.addSeries("line", counts, counts.stream().map(fit::at).toList());
    line.setMarker(SeriesMarkers.NONE);
    line.setLineColor(Color.GRAY);
    XYSeries points =
        chart.addSeries(
            "measured",
            slope.points().stream().map(LinearFit.Point::count).toList(),
            slope.points().stream().map(LinearFit.Point::value).toList());
    points.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
    points.setMarkerColor(Color.BLUE);
    return chart;
  }
}
