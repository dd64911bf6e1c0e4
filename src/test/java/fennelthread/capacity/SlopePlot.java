package fennelthread.capacity;

import java.util.Locale;

/**
 * SVG plot of one slope: the measured points and the fitted line, with axes that include zero. It
 * uses no plotting library because those write each letter as a shape, which makes the file a
 * hundred times as large.
 */
final class SlopePlot {
  private static final int WIDTH = 420;
  private static final int HEIGHT = 260;
  private static final int LEFT = 80;
  private static final int RIGHT = 15;
  private static final int TOP = 30;
  private static final int BOTTOM = 45;
  private static final int TICKS = 4;

  private final Slope slope;
  private final LinearFit fit;
  private final double maxCount;
  private final double minValue;
  private final double maxValue;

  SlopePlot(Slope slope) {
    this.slope = slope;
    this.fit = slope.fit();
    this.maxCount = fit.largestCount();
    double min = Math.min(0, fit.valueAt(0));
    double max = Math.max(fit.valueAt(0), fit.valueAt(maxCount));
    for (LinearFit.Point point : slope.points()) {
      min = Math.min(min, point.value());
      max = Math.max(max, point.value());
    }
    this.minValue = min;
    this.maxValue = max;
  }

  String toSvg() {
    StringBuilder out = new StringBuilder();
    addElement(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
            + " font-family=\"sans-serif\" font-size=\"11\">",
        WIDTH,
        HEIGHT);
    addElement(out, "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>");
    addElement(
        out,
        "<text x=\"%d\" y=\"18\" font-size=\"13\">%s: %s, %s</text>",
        LEFT,
        slope.role(),
        slope.quantity().id(),
        slope.quantity().unit());
    addElement(
        out,
        "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s</text>",
        (LEFT + WIDTH - RIGHT) / 2,
        HEIGHT - 8,
        slope.cause());
    for (int i = 0; i <= TICKS; i++) {
      addTick(out, i / (double) TICKS);
    }
    addElement(
        out,
        "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"gray\"/>",
        xOf(0),
        yOf(fit.valueAt(0)),
        xOf(maxCount),
        yOf(fit.valueAt(maxCount)));
    for (LinearFit.Point point : slope.points()) {
      addElement(
          out,
          "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3.5\" fill=\"#1f5fa8\"/>",
          xOf(point.count()),
          yOf(point.value()));
    }
    return out.append("</svg>\n").toString();
  }

  private void addTick(StringBuilder out, double share) {
    double count = share * maxCount;
    double value = minValue + share * (maxValue - minValue);
    addElement(
        out,
        "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>",
        xOf(count),
        HEIGHT - BOTTOM + 16,
        CapacityTables.formatNumber(count));
    addElement(
        out,
        "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>",
        LEFT - 6,
        yOf(value) + 4,
        CapacityTables.formatNumber(value));
    addElement(
        out,
        "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#dddddd\"/>",
        LEFT,
        yOf(value),
        WIDTH - RIGHT,
        yOf(value));
  }

  private double xOf(double count) {
    return LEFT + count / maxCount * (WIDTH - LEFT - RIGHT);
  }

  private double yOf(double value) {
    return HEIGHT - BOTTOM - (value - minValue) / (maxValue - minValue) * (HEIGHT - TOP - BOTTOM);
  }

  private static void addElement(StringBuilder out, String format, Object... values) {
    out.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
