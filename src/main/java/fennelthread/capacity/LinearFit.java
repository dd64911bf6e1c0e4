package fennelthread.capacity;

import fennelthread.constants.CapacityConstants;
import java.util.List;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param slope growth of the measured value with each unit of the cause
 * @param intercept the value at a count of zero
 * @param residual root mean square distance of the points from the line, in the value's unit
 * @param slopeError standard error of the slope
 * @param rSquared share of the variance that the line explains, 0 to 1
 * @param smallest the smallest measured count
 * @param largest the largest measured count
 */
public record LinearFit(
    double slope,
    double intercept,
    double residual,
    double slopeError,
    double rSquared,
    double smallest,
    double largest) {

  /** One measurement: {@code value} was found at a count of {@code count}. */
  public record Point(double count, double value) {}

  /**
   * Fits a line to at least three points of which not all have the same count.
   *
   * @throws IllegalArgumentException if there are too few, or all at one count
   */
  public static LinearFit of(List<Point> points) {
    int n = points.size();
    if (n < 3) {
      throw new IllegalArgumentException("a line needs three points, not " + n);
    }
    double meanCount = points.stream().mapToDouble(Point::count).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double countSquares = 0;
    double products = 0;
    double valueSquares = 0;
    double smallest = Double.POSITIVE_INFINITY;
    double largest = Double.NEGATIVE_INFINITY;
    for (Point p : points) {
      countSquares += (p.count - meanCount) * (p.count - meanCount);
      products += (p.count - meanCount) * (p.value - meanValue);
      valueSquares += (p.value - meanValue) * (p.value - meanValue);
      smallest = Math.min(smallest, p.count);
      largest = Math.max(largest, p.count);
    }
    if (countSquares == 0) {
      throw new IllegalArgumentException("all points are at one count");
    }
    double slope = products / countSquares;
    double intercept = meanValue - slope * meanCount;
    double rest = 0;
    for (Point p : points) {
      double off = p.value - (intercept + slope * p.count);
      rest += off * off;
    }
    return new LinearFit(
        slope,
        intercept,
        Math.sqrt(rest / n),
        Math.sqrt(rest / (n - 2) / countSquares),
        valueSquares == 0 ? 1 : 1 - rest / valueSquares,
        smallest,
        largest);
  }

  /** The value that the line gives for a count. */
  public double at(double count) {
    return intercept + slope * count;
  }

  /** True if the line explains nearly all of what was measured. */
  public boolean isLinear() {
    return rSquared >= CapacityConstants.MIN_LINE_R_SQUARED;
  }
}
