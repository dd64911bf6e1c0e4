package fennelthread.capacity;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The estimated value of a quantity in a situation: the base value plus, for each cause, its slope
 * times its count.
 *
 * @param value the sum, in the unit of the quantity
 * @param error square root of the sum of squares of each slope's standard error times its count and
 *     of each fit's residual, in the unit of the quantity
 * @param largestCause the cause that contributes most, or {@code base}
 * @param largestShare the share of the sum that this cause contributes; 0 if the sum is 0
 * @param isExtrapolated true if a count that contributes more than a hundredth of the sum lies
 *     beyond the largest count that its slope was measured at
 */
public record Estimate(
    double value, double error, String largestCause, double largestShare, boolean isExtrapolated) {

  /** The cause whose intercept is the base: what a role needs without any load. */
  private static final String BASE_CAUSE = "worker";

  /** Name of the base where it is the largest contribution. */
  private static final String BASE_LABEL = "base";

  /**
   * The cause whose count is the estimate of another quantity: each message costs CPU time for
   * sockets and HTTP, which the slopes of the other causes leave out.
   */
  private static final String REQUEST_CAUSE = "request";

  /**
   * Estimates a quantity of a role; empty if the catalogue has no slope of it for any cause of the
   * situation.
   */
  public static Optional<Estimate> of(
      SlopeCatalogue catalogue, String role, Quantity quantity, Plan.Situation situation) {
    if (quantity == Quantity.CPU_TIME) {
      return addContributions(
          catalogue, role, quantity, withRequestCount(catalogue, role, situation));
    }
    return addContributions(catalogue, role, quantity, situation);
  }

  private static Plan.Situation withRequestCount(
      SlopeCatalogue catalogue, String role, Plan.Situation situation) {
    Map<String, Double> counts = new LinkedHashMap<>(situation.counts());
    addContributions(catalogue, role, Quantity.MESSAGES, situation)
        .ifPresent(messages -> counts.put(REQUEST_CAUSE, messages.value()));
    return new Plan.Situation(situation.name(), counts);
  }

  private static Optional<Estimate> addContributions(
      SlopeCatalogue catalogue, String role, Quantity quantity, Plan.Situation situation) {
    Optional<LinearFit> base = catalogue.find(role, BASE_CAUSE, quantity).map(Slope::fit);
    double value = base.map(fit -> Math.max(0, fit.intercept())).orElse(0.0);
    double squaredErrors = 0;
    double largestPart = value;
    String largestCause = BASE_LABEL;
    boolean hasSlope = false;
    boolean isExtrapolated = false;
    for (Map.Entry<String, Double> count : situation.counts().entrySet()) {
      Optional<Slope> slope = catalogue.find(role, count.getKey(), quantity);
      if (slope.isEmpty()) {
        continue;
      }
      hasSlope = true;
      LinearFit fit = slope.get().fit();
      double part = contribution(slope.get(), fit, count.getValue());
      value += part;
      squaredErrors +=
          Math.pow(fit.slopeError() * count.getValue(), 2) + Math.pow(fit.residual(), 2);
      if (part > largestPart) {
        largestPart = part;
        largestCause = count.getKey();
      }
    }
    if (!hasSlope) {
      return Optional.empty();
    }
    for (Map.Entry<String, Double> count : situation.counts().entrySet()) {
      Optional<Slope> slope = catalogue.find(role, count.getKey(), quantity);
      if (slope.isPresent()) {
        LinearFit fit = slope.get().fit();
        boolean isRelevant = contribution(slope.get(), fit, count.getValue()) * 100 > value;
        isExtrapolated |= isRelevant && count.getValue() > fit.largestCount();
      }
    }
    return Optional.of(
        new Estimate(
            value,
            Math.sqrt(squaredErrors),
            largestCause,
            value == 0 ? 0 : largestPart / value,
            isExtrapolated));
  }

  /** Returns the estimate for {@code copies} equal loads: value and error are multiplied. */
  public Estimate times(double copies) {
    return new Estimate(value * copies, error * copies, largestCause, largestShare, isExtrapolated);
  }

  /**
   * Returns what a cause adds to the sum. A time is read off the fitted line, intercept included;
   * other quantities add the slope times the count if the slope is significant and positive, as the
   * base is counted once.
   */
  private static double contribution(Slope slope, LinearFit fit, double count) {
    if (slope.quantity() == Quantity.START_GAP) {
      return fit.valueAt(count);
    }
    return slope.isSignificant() ? Math.max(0, fit.slope()) * count : 0;
  }
}
