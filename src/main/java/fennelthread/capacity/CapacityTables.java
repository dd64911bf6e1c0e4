package fennelthread.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Generates the Markdown tables of docs/capacity.md from measured slopes and a plan: for each role
 * the estimated quantities, the counts they rest on and the limits, then all slopes.
 */
public final class CapacityTables {
  private static final String EXTRAPOLATED_MARK = " ⁺";

  private final SlopeCatalogue catalogue;
  private final Plan plan;

  /** Creates a generator that reads both arguments when {@link #write} is called. */
  public CapacityTables(SlopeCatalogue catalogue, Plan plan) {
    this.catalogue = catalogue;
    this.plan = plan;
  }

  /** Returns all tables as Markdown text. */
  public String write() {
    StringBuilder out = new StringBuilder();
    plan.roles().forEach(role -> writeRole(out, role));
    writeSlopes(out);
    return out.toString();
  }

  // ---------------------------------------------------------------- roles

  private void writeRole(StringBuilder out, Plan.Role role) {
    out.append("### ").append(role.title()).append("\n\n");
    out.append("| quantity |");
    role.situations().forEach(situation -> out.append(' ').append(situation.name()).append(" |"));
    out.append(" most of the largest | limit | least margin |\n|");
    out.append(" --- |".repeat(role.situations().size() + 4)).append('\n');
    for (Quantity quantity : Quantity.values()) {
      writeQuantity(out, role, quantity);
    }
    writeCounts(out, role);
    role.limits().forEach((quantity, limit) -> writeLimit(out, quantity, limit));
    out.append('\n');
  }

  private void writeQuantity(StringBuilder out, Plan.Role role, Quantity quantity) {
    List<Optional<Estimate>> estimates = new ArrayList<>();
    Estimate largest = null;
    for (Plan.Situation situation : role.situations()) {
      Optional<Estimate> estimate =
          Estimate.of(catalogue, role.name(), quantity, situation)
              .map(single -> single.times(role.copies()));
      estimates.add(estimate);
      if (estimate.isPresent() && (largest == null || estimate.get().value() > largest.value())) {
        largest = estimate.get();
      }
    }
    if (largest == null || largest.value() == 0) {
      return;
    }
    out.append("| ").append(quantity.id()).append(", ").append(quantity.unit()).append(" |");
    estimates.forEach(
        estimate ->
            out.append(' ')
                .append(estimate.map(CapacityTables::tableCell).orElse(""))
                .append(" |"));
    Optional<Plan.Limit> limit = role.limit(quantity);
    double needed = largest.value();
    out.append(
            String.format(
                Locale.ROOT, " %s, %.0f%% |", largest.largestCause(), 100 * largest.largestShare()))
        .append(' ')
        .append(limit.map(l -> formatNumber(l.max())).orElse("none set"))
        .append(" | ")
        .append(limit.map(l -> formatMargin(l.max(), needed)).orElse(""))
        .append(" |\n");
  }

  private static String tableCell(Estimate estimate) {
    return formatNumber(estimate.value())
        + " ± "
        + formatNumber(estimate.error())
        + (estimate.isExtrapolated() ? EXTRAPOLATED_MARK : "");
  }

  private static String formatMargin(double max, double needed) {
    return needed > max
        ? String.format(Locale.ROOT, "**%.1f times too much**", needed / max)
        : String.format(Locale.ROOT, "%.1f times", max / needed);
  }

  private static void writeCounts(StringBuilder out, Plan.Role role) {
    out.append(
        role.copies() == 1
            ? "\nCounts:\n"
            : "\nCounts for each of " + formatNumber(role.copies()) + " cells:\n");
    out.append("\n| cause |");
    role.situations().forEach(situation -> out.append(' ').append(situation.name()).append(" |"));
    out.append("\n|").append(" --- |".repeat(role.situations().size() + 1)).append('\n');
    TreeSet<String> causes = new TreeSet<>();
    role.situations().forEach(situation -> causes.addAll(situation.counts().keySet()));
    for (String cause : causes) {
      out.append("| ").append(cause).append(" |");
      for (Plan.Situation situation : role.situations()) {
        out.append(' ')
            .append(formatNumber(situation.counts().getOrDefault(cause, 0.0)))
            .append(" |");
      }
      out.append('\n');
    }
    out.append('\n');
  }

  private static void writeLimit(StringBuilder out, Quantity quantity, Plan.Limit limit) {
    out.append("- ")
        .append(quantity.id())
        .append(": the limit is ")
        .append(limit.reason())
        .append(". Mechanism: ")
        .append(limit.mechanism())
        .append(".\n");
  }

  // ---------------------------------------------------------------- slopes

  private void writeSlopes(StringBuilder out) {
    out.append("### Slopes\n\n");
    out.append("| role | cause | quantity | slope | at 0 | residual | R² | measured at |\n");
    out.append("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    Map<String, List<String>> causesWithoutGrowth = new TreeMap<>();
    TreeSet<String> sources = new TreeSet<>();
    for (Slope slope : catalogue.all()) {
      sources.add(catalogue.sourceOf(slope));
      if (slope.isSignificant()) {
        writeSlope(out, slope);
      } else {
        causesWithoutGrowth
            .computeIfAbsent(slope.role() + ", " + slope.quantity().id(), key -> new ArrayList<>())
            .add(slope.cause());
      }
    }
    out.append("\nMeasured by: ").append(String.join("; ", sources)).append(".\n");
    out.append("\nNo growth beyond three standard errors was found of:\n\n");
    causesWithoutGrowth.forEach(
        (roleAndQuantity, causes) ->
            out.append("- ")
                .append(roleAndQuantity)
                .append(" with ")
                .append(String.join(", ", causes))
                .append('\n'));
    out.append('\n');
  }

  private static void writeSlope(StringBuilder out, Slope slope) {
    LinearFit fit = slope.fit();
    out.append(
        String.format(
            Locale.ROOT,
            "| %s | %s | [%s](scale/%s.svg), %s | %s ± %s | %s | %s | %.3f%s | %d sizes, %s to %s |\n",
            slope.role(),
            slope.cause(),
            slope.quantity().id(),
            slope.id().replace('/', '.'),
            slope.quantity().unit(),
            formatNumber(fit.slope()),
            formatNumber(fit.slopeError()),
            formatNumber(fit.intercept()),
            formatNumber(fit.residual()),
            fit.rSquared(),
            fit.isLinear() ? "" : ", no line",
            slope.points().size(),
            formatNumber(fit.smallestCount()),
            formatNumber(fit.largestCount())));
  }

  /**
   * Formats a value for a table: whole numbers and values from 100 on without decimals, others with
   * one to four decimals by their size, absolute values below 0.00005 as 0.
   */
  static String formatNumber(double value) {
    double absolute = Math.abs(value);
    if (absolute >= 100 || value == Math.rint(value)) {
      return String.format(Locale.ROOT, "%,.0f", value);
    }
    if (absolute < 0.000_05) {
      return "0";
    }
    return String.format(
        Locale.ROOT, absolute >= 10 ? "%.1f" : absolute >= 1 ? "%.2f" : "%.4f", value);
  }
}
