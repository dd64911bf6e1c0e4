package fennelthread.capacity;

import fennelthread.constants.CapacityConstants;
import java.util.List;

/**
 * A measured series: one quantity of one role at several counts of one cause.
 *
 * @param role the process or service that bears the load, for instance {@code leader}
 * @param cause what the quantity depends on, for instance {@code worker}
 * @param quantity what was measured, with its unit
 * @param points the measurements
 * @param note explanation of the growth, or empty
 */
public record Slope(
    String role, String cause, Quantity quantity, List<LinearFit.Point> points, String note) {

  /** Creates a series that holds an immutable copy of {@code points}. */
  public Slope {
    points = List.copyOf(points);
  }

  /**
   * Fits a line to the points anew at each call.
   *
   * @throws IllegalArgumentException if there are fewer than three points, or all have one count
   */
  public LinearFit fit() {
    return LinearFit.of(points);
  }

  /**
   * Returns true if the slope, rising or falling, exceeds its standard error by the required factor
   * and at least one value is large enough to show in the tables.
   */
  public boolean isSignificant() {
    LinearFit fit = fit();
    boolean isVisible =
        points.stream()
            .anyMatch(point -> Math.abs(point.value()) > CapacityConstants.MIN_VISIBLE_VALUE);
    return isVisible
        && Math.abs(fit.slope()) > CapacityConstants.MIN_SLOPE_STANDARD_ERRORS * fit.slopeError();
  }

  /** Returns the key in the catalogue: role, cause and quantity, separated by slashes. */
  public String id() {
    return role + "/" + cause + "/" + quantity.id();
  }
}
