package fennelthread.simulation;

import fennelthread.capacity.LinearFit;
import fennelthread.capacity.Quantity;
import fennelthread.capacity.Slope;
import fennelthread.capacity.SlopeCatalogue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Samples by size, as points of all quantities of all roles. */
final class SlopeSeries {
  private final String cause;
  private final SlopeCatalogue catalogue;
  private final String source;
  private final Map<String, Map<Quantity, List<LinearFit.Point>>> points = new TreeMap<>();

  SlopeSeries(String cause, SlopeCatalogue catalogue, String source) {
    this.cause = cause;
    this.catalogue = catalogue;
    this.source = source;
  }

  void add(double count, Map<String, Map<Quantity, Double>> sample) {
    sample.forEach(
        (role, quantities) ->
            quantities.forEach((quantity, value) -> add(role, quantity, count, value)));
  }

  void add(String role, Quantity quantity, double count, double value) {
    points
        .computeIfAbsent(role, k -> new TreeMap<>())
        .computeIfAbsent(quantity, k -> new ArrayList<>())
        .add(new LinearFit.Point(count, value));
  }

  /** The same for what follows from kept series: nothing of earlier runs is looked at. */
  void keepAnew(Quantity... quantities) {
    points.keySet().forEach(role -> catalogue.remove(role, cause, Quantity.CPU_TIME));
    keep(quantities);
  }

  private void keepLowest(String role, List<LinearFit.Point> now) {
    List<LinearFit.Point> before =
        catalogue.find(role, cause, Quantity.CPU_TIME).map(Slope::points).orElse(List.of());
    for (int i = 0; i < now.size(); i++) {
      LinearFit.Point point = now.get(i);
      double value = point.value();
      for (LinearFit.Point p : before) {
        // Counts are kept with three digits after the point.
        value = Math.abs(p.count() - point.count()) < 1e-3 ? Math.min(value, p.value()) : value;
      }
      now.set(i, new LinearFit.Point(point.count(), value));
    }
  }

  /** The same less what the catalogue holds of another cause at the same sizes. */
  SlopeSeries less(String other, String as) {
    SlopeSeries rest = new SlopeSeries(as, catalogue, source);
    points.forEach(
        (role, quantities) ->
            quantities.forEach(
                (quantity, list) ->
                    catalogue
                        .find(role, other, quantity)
                        .ifPresent(slope -> rest.addDifferences(role, quantity, list, slope))));
    return rest;
  }

  private void addDifferences(
      String role, Quantity quantity, List<LinearFit.Point> list, Slope other) {
    for (int i = 0; i < list.size(); i++) {
      LinearFit.Point point = list.get(i);
      LinearFit.Point before = other.points().get(i);
      if (Math.abs(point.count() - before.count()) > 1e-3) {
        throw new AssertionError(other.id() + " was measured at other sizes: " + before);
      }
      add(role, quantity, point.count(), point.value() - before.value());
    }
  }

  /**
   * Puts the slopes of some quantities into the catalogue, and prints them. Of processor time the
   * lowest of all runs is kept: other work on the machine only adds to it.
   */
  void keep(Quantity... quantities) {
    points.forEach(
        (role, all) -> {
          for (Quantity q : quantities) {
            if (all.containsKey(q)) {
              if (q == Quantity.CPU_TIME) {
                keepLowest(role, all.get(q));
              }
              Slope slope = new Slope(role, cause, q, all.get(q), "");
              catalogue.put(slope, source);
              LinearFit fit = slope.fit();
              System.out.printf(
                  "%-10s %-14s %-15s slope %12.4f +- %10.4f, at 0 %12.2f, residual %10.3f, R2 %.4f%n",
                  role,
                  cause,
                  q.id(),
                  fit.slope(),
                  fit.slopeError(),
                  fit.intercept(),
                  fit.residual(),
                  fit.rSquared());
            }
          }
        });
  }
}
