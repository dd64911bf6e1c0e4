package fennelthread.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class LinearFitTest {
  private static LinearFit.Point point(double count, double value) {
    return new LinearFit.Point(count, value);
  }

  @Test
  void pointsOnALineGiveThatLine() {
    LinearFit fit = LinearFit.of(List.of(point(1, 5), point(2, 7), point(10, 23)));
    assertEquals(2, fit.slope(), 1e-12);
    assertEquals(3, fit.intercept(), 1e-12);
    assertEquals(0, fit.residual(), 1e-9);
    assertEquals(1, fit.rSquared(), 1e-12);
    assertEquals(103, fit.valueAt(50), 1e-9);
    assertEquals(10, fit.largestCount());
  }

  /** Expected values computed by hand: slope 3/2, intercept 1/3, residuals -1/3, 2/3, -1/3. */
  @Test
  void residualIsTheRootMeanSquareDistance() {
    LinearFit fit = LinearFit.of(List.of(point(0, 0), point(1, 2.5), point(2, 3)));
    assertEquals(1.5, fit.slope(), 1e-12);
    assertEquals(1 / 3.0, fit.intercept(), 1e-12);
    assertEquals(Math.sqrt(2) / 3, fit.residual(), 1e-12);
    assertEquals(Math.sqrt((2 / 3.0) / 1 / 2), fit.slopeError(), 1e-12);
  }

  /** The true slope lies within four standard errors of the fitted one for all 200 seeds. */
  @Test
  void noiseShiftsTheSlopeByLessThanFourStandardErrors() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      double slope = random.nextDouble(-10, 10);
      List<LinearFit.Point> points = new ArrayList<>();
      for (int i = 1; i <= 40; i++) {
        points.add(point(i, 7 + slope * i + random.nextDouble(-1, 1)));
      }
      LinearFit fit = LinearFit.of(points);
      assertEquals(slope, fit.slope(), 4 * fit.slopeError(), "seed " + seed);
    }
  }

  @Test
  void quadraticGrowthIsNotLinear() {
    List<LinearFit.Point> points = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      points.add(point(i, i * i));
    }
    assertFalse(LinearFit.of(points).isLinear());
    assertTrue(LinearFit.of(List.of(point(1, 1), point(2, 2), point(3, 3))).isLinear());
  }

  @Test
  void tooFewPointsOrASingleCountAreRejected() {
    assertThrows(
        IllegalArgumentException.class, () -> LinearFit.of(List.of(point(1, 1), point(2, 2))));
    assertThrows(
        IllegalArgumentException.class,
        () -> LinearFit.of(List.of(point(1, 1), point(1, 2), point(1, 3))));
  }
}
