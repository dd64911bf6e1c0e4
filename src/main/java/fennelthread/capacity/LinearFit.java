package fennelthread.capacity;

import fennelthread.constants.CapacityConstants;
import java.util.List;

/**
 * A straight line fitted to measured points by ordinary least squares.
 *
 * @param slope change of the measured value for each unit of the cause
 * @param intercept the value of the line at a count of zero
 * @param residual root mean square of the points' vertical distances from the line, in the value's
 *     unit
 * @param slopeError standard error of the slope
 * @param rSquared coefficient of determination: the share of the variance that the line explains, 0
 *     to 1
 * @param smallestCount the smallest measured count
 * @param largestCount the largest measured count
 */
public record LinearFit(
    double slope,
    double intercept,
    double residual,
    double slopeError,
    double rSquared,
    double smallestCount,
    double largestCount) {

  /** One measurement: the quantity had {@code value} while its cause had {@code count}. */
  public record Point(double count, double value) {}

  /**
   * Fits a line to at least three points, which must not all have the same count.
   *
   * @throws IllegalArgumentException if there are fewer than three points, or all have one count
   */
  public static LinearFit of(List<Point> points) {
    int size = points.size();
    if (size < 3) {
      throw new IllegalArgumentException("a linear fit needs at least 3 points: points=" + size);
    }
    double meanCount = points.stream().mapToDouble(Point::count).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double countSquares = 0;
    double products = 0;
    double valueSquares = 0;
    double smallestCount = Double.POSITIVE_INFINITY;
    double largestCount = Double.NEGATIVE_INFINITY;
    for (Point point : points) {
      countSquares += (point.count - meanCount) * (point.count - meanCount);
      products += (point.count - meanCount) * (point.value - meanValue);
      valueSquares += (point.value - meanValue) * (point.value - meanValue);
      smallestCount = Math.min(smallestCount, point.count);
      largestCount = Math.max(largestCount, point.count);
    }
    if (countSquares == 0) {
      throw new IllegalArgumentException(
          "a linear fit needs points at two or more different counts");
    }
    double slope = products / countSquares;
    double intercept = meanValue - slope * meanCount;
    double residualSquares = 0;
    for (Point point : points) {
      double distance = point.value - (intercept + slope * point.count);
      residualSquares += distance * distance;
    }
    return new LinearFit(
        slope,
        intercept,
        Math.sqrt(residualSquares / size),
        Math.sqrt(residualSquares / (size - 2) / countSquares),
        valueSquares == 0 ? 1 : 1 - residualSquares / valueSquares,
        smallestCount,
        largestCount);
  }

  /** Returns the value of the line at a count, also outside the measured range. */
  public double valueAt(double count) {
    return intercept + slope * count;
  }

  /** Returns true if the coefficient of determination is high enough to call the growth linear. */
  public boolean isLinear() {
    return rSquared >= CapacityConstants.MIN_LINE_R_SQUARED;
  }
}
