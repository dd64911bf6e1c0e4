package fennelthread.capacity;

import fennelthread.constants.CapacityConstants;
import java.util.List;

/**
 * How one quantity of one role grows with one cause, as measured.
 *
 * @param role who bears it, for instance {@code leader}
 * @param cause what it grows with, for instance {@code worker}
 * @param quantity what grows, with its unit
 * @param points the measurements
 * @param note why it grows as it does, empty if there is nothing to say
 */
public record Slope(
    String role, String cause, Quantity quantity, List<LinearFit.Point> points, String note) {

  /** Copies the points. */
  public Slope {
    points = List.copyOf(points);
  }

  /** The line through the points. */
  public LinearFit fit() {
    return LinearFit.of(points);
  }

  /** True if the value rises or falls by more than three standard errors of the slope. */
  public boolean grows() {
    LinearFit fit = fit();
    boolean visible =
        points.stream().anyMatch(p -> Math.abs(p.value()) > CapacityConstants.MIN_VISIBLE_VALUE);
    return visible
        && Math.abs(fit.slope()) > CapacityConstants.MIN_SLOPE_STANDARD_ERRORS * fit.slopeError();
  }

  /** The name under which the catalogue holds it. */
  public String id() {
    return role + "/" + cause + "/" + quantity.id();
  }
}
