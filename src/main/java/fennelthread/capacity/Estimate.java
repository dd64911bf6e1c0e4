package fennelthread.capacity;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a quantity comes to in a situation: the base, and each slope times its count.
 *
 * @param value the sum
 * @param error the standard errors of the slopes times their counts, and the residuals, as a root
 *     of squares
 * @param largestCause the cause that contributes most
 * @param largestShare its part of the sum
 * @param extrapolated true if a count that contributes over a hundredth lies beyond the largest
 *     measured one
 */
public record Estimate(
    double value, double error, String largestCause, double largestShare, boolean extrapolated) {

  /** The cause whose line also gives what a role needs when nothing happens. */
  private static final String BASE = "worker";

  private static final String NOTHING = "base";

  /** The cause that follows from another quantity: each message costs sockets and HTTP. */
  private static final String REQUEST = "request";

  /** Adds up what is known of a role's quantity; empty if no slope of it was measured. */
  public static Optional<Estimate> of(
      SlopeCatalogue catalogue, String role, Quantity quantity, Plan.Situation situation) {
    if (quantity == Quantity.CPU_TIME) {
      return sum(catalogue, role, quantity, withRequests(catalogue, role, situation));
    }
    return sum(catalogue, role, quantity, situation);
  }

  private static Plan.Situation withRequests(
      SlopeCatalogue catalogue, String role, Plan.Situation situation) {
    Map<String, Double> counts = new LinkedHashMap<>(situation.counts());
    sum(catalogue, role, Quantity.MESSAGES, situation)
        .ifPresent(messages -> counts.put(REQUEST, messages.value()));
    return new Plan.Situation(situation.name(), counts);
  }

  private static Optional<Estimate> sum(
      SlopeCatalogue catalogue, String role, Quantity quantity, Plan.Situation situation) {
    Optional<LinearFit> base = catalogue.find(role, BASE, quantity).map(Slope::fit);
    double value = base.map(fit -> Math.max(0, fit.intercept())).orElse(0.0);
    double squares = 0;
    double most = value;
    String cause = NOTHING;
    boolean known = false;
    boolean beyond = false;
    for (Map.Entry<String, Double> count : situation.counts().entrySet()) {
      Optional<Slope> slope = catalogue.find(role, count.getKey(), quantity);
      if (slope.isEmpty()) {
        continue;
      }
      known = true;
      LinearFit fit = slope.get().fit();
      double part = part(slope.get(), fit, count.getValue());
      value += part;
      squares += Math.pow(fit.slopeError() * count.getValue(), 2) + Math.pow(fit.residual(), 2);
      if (part > most) {
        most = part;
        cause = count.getKey();
      }
    }
    if (!known) {
      return Optional.empty();
    }
    for (Map.Entry<String, Double> count : situation.counts().entrySet()) {
      Optional<Slope> slope = catalogue.find(role, count.getKey(), quantity);
      if (slope.isPresent()) {
        LinearFit fit = slope.get().fit();
        boolean matters = part(slope.get(), fit, count.getValue()) * 100 > value;
        beyond |= matters && count.getValue() > fit.largest();
      }
    }
    return Optional.of(
        new Estimate(value, Math.sqrt(squares), cause, value == 0 ? 0 : most / value, beyond));
  }

  /** The same so many times over. */
  public Estimate times(double copies) {
    return new Estimate(value * copies, error * copies, largestCause, largestShare, extrapolated);
  }

  /** A time is what the line gives; of all else only what grows comes to the base. */
  private static double part(Slope slope, LinearFit fit, double count) {
    if (slope.quantity() == Quantity.START_GAP) {
      return fit.at(count);
    }
    return slope.grows() ? Math.max(0, fit.slope()) * count : 0;
  }
}
