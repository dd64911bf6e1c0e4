package fennelthread.capacity;

import java.util.Locale;

/**
 * One slope as a small SVG: axes from zero, the measured points, the fitted line. Written by hand
 * because a plotting library's SVG holds every letter as a shape, a hundred times the size.
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
  private final double mostCount;
  private final double leastValue;
  private final double mostValue;

  SlopePlot(Slope slope) {
    this.slope = slope;
    this.fit = slope.fit();
    this.mostCount = fit.largest();
    double least = Math.min(0, fit.at(0));
    double most = Math.max(fit.at(0), fit.at(mostCount));
    for (LinearFit.Point p : slope.points()) {
      least = Math.min(least, p.value());
      most = Math.max(most, p.value());
    }
    this.leastValue = least;
    this.mostValue = most;
  }

  String svg() {
    StringBuilder out = new StringBuilder();
    add(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
            + " font-family=\"sans-serif\" font-size=\"11\">",
        WIDTH,
        HEIGHT);
    add(out, "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>");
    add(
        out,
        "<text x=\"%d\" y=\"18\" font-size=\"13\">%s: %s, %s</text>",
        LEFT,
        slope.role(),
        slope.quantity().id(),
        slope.quantity().unit());
    add(
        out,
        "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s</text>",
        (LEFT + WIDTH - RIGHT) / 2,
        HEIGHT - 8,
        slope.cause());
    for (int i = 0; i <= TICKS; i++) {
      ticks(out, i / (double) TICKS);
    }
    add(
        out,
        "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"gray\"/>",
        x(0),
        y(fit.at(0)),
        x(mostCount),
        y(fit.at(mostCount)));
    for (LinearFit.Point p : slope.points()) {
      add(
          out,
          "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3.5\" fill=\"#1f5fa8\"/>",
          x(p.count()),
          y(p.value()));
    }
    return out.append("</svg>\n").toString();
  }

  private void ticks(StringBuilder out, double share) {
    double count = share * mostCount;
    double value = leastValue + share * (mostValue - leastValue);
    add(
        out,
        "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>",
        x(count),
        HEIGHT - BOTTOM + 16,
        CapacityTables.number(count));
    add(
        out,
        "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>",
        LEFT - 6,
        y(value) + 4,
        CapacityTables.number(value));
    add(
        out,
        "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#dddddd\"/>",
        LEFT,
        y(value),
        WIDTH - RIGHT,
        y(value));
  }

  private double x(double count) {
    return LEFT + count / mostCount * (WIDTH - LEFT - RIGHT);
  }

  private double y(double value) {
    return HEIGHT
        - BOTTOM
        - (value - leastValue) / (mostValue - leastValue) * (HEIGHT - TOP - BOTTOM);
  }

  private static void add(StringBuilder out, String format, Object... values) {
    out.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
