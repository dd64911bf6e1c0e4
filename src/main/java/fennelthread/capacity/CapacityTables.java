package fennelthread.capacity;

import java.util.Locale;
import java.util.Optional;

/** Writes the tables of docs/CAPACITY.md from slopes and a plan. */
public final class CapacityTables {
  private final SlopeCatalogue catalogue;
  private final Plan plan;

  /** Creates the tables of these slopes and this plan. */
  public CapacityTables(SlopeCatalogue catalogue, Plan plan) {
    this.catalogue = catalogue;
    this.plan = plan;
  }

  /** All tables in Markdown. */
  public String write() {
    StringBuilder out = new StringBuilder();
    plan.roles().forEach(role -> role(out, role));
    slopes(out);
    return out.toString();
  }

  private void role(StringBuilder out, Plan.Role role) {
    out.append("### ").append(role.title()).append("\n\n");
    counts(out, role);
    out.append("| situation | quantity | needed | error | most of it | limit | margin |\n");
    out.append("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (Plan.Situation situation : role.situations()) {
      for (Quantity quantity : Quantity.values()) {
        Estimate.of(catalogue, role.name(), quantity, situation)
            .filter(e -> e.value() > 0)
            .ifPresent(e -> row(out, role, situation, quantity, e));
      }
    }
    out.append('\n');
    role.limits()
        .forEach(
            (quantity, limit) ->
                out.append("- ")
                    .append(quantity.id())
                    .append(" (")
                    .append(limit.why())
                    .append("): ")
                    .append(limit.mechanism())
                    .append(".\n"));
    out.append('\n');
  }

  private static void counts(StringBuilder out, Plan.Role role) {
    for (Plan.Situation situation : role.situations()) {
      out.append("- *").append(situation.name()).append("*: ");
      String separator = "";
      for (var count : situation.counts().entrySet()) {
        out.append(separator).append(count.getKey()).append(' ').append(number(count.getValue()));
        separator = ", ";
      }
      out.append('\n');
    }
    out.append('\n');
  }

  private static void row(
      StringBuilder out,
      Plan.Role role,
      Plan.Situation situation,
      Quantity quantity,
      Estimate estimate) {
    Optional<Plan.Limit> limit = role.limit(quantity);
    out.append("| ")
        .append(situation.name())
        .append(" | ")
        .append(quantity.id())
        .append(", ")
        .append(quantity.unit())
        .append(" | ")
        .append(number(estimate.value()))
        .append(estimate.extrapolated() ? " (extrapolated)" : "")
        .append(" | ")
        .append(number(estimate.error()))
        .append(" | ")
        .append(estimate.largestCause())
        .append(String.format(Locale.ROOT, " %.0f%%", estimate.largestShare() * 100))
        .append(" | ")
        .append(limit.map(l -> number(l.most())).orElse("none set"))
        .append(" | ")
        .append(limit.map(l -> margin(l.most(), estimate.value())).orElse(""))
        .append(" |\n");
  }

  private static String margin(double most, double needed) {
    return needed > most
        ? String.format(Locale.ROOT, "**%.1f times too much**", needed / most)
        : String.format(Locale.ROOT, "%.1f times", most / needed);
  }

  private void slopes(StringBuilder out) {
    out.append("### Slopes\n\n");
    out.append(
        "| role | cause | quantity | slope | error | at 0 | residual | R² | measured at | source"
            + " |\n");
    out.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (Slope slope : catalogue.all()) {
      LinearFit fit = slope.fit();
      if (slope.points().stream().allMatch(p -> p.value() == 0)) {
        continue;
      }
      out.append(
          String.format(
              Locale.ROOT,
              "| %s | %s | %s, %s | %s | %s | %s | %s | %s | %d sizes, %s to %s | %s |%n",
              slope.role(),
              slope.cause(),
              slope.quantity().id(),
              slope.quantity().unit(),
              number(fit.slope()),
              number(fit.slopeError()),
              number(fit.intercept()),
              number(fit.residual()),
              String.format(
                  Locale.ROOT, fit.isLinear() ? "%.3f" : "%.3f, not a line", fit.rSquared()),
              slope.points().size(),
              number(fit.smallest()),
              number(fit.largest()),
              catalogue.sourceOf(slope)));
    }
    notes(out);
  }

  private void notes(StringBuilder out) {
    out.append('\n');
    for (Slope slope : catalogue.all()) {
      if (!slope.note().isEmpty()) {
        out.append("- ").append(slope.id()).append(": ").append(slope.note()).append('\n');
      }
    }
  }

  /** A number with three digits that matter, or all before the point. */
  static String number(double value) {
    double size = Math.abs(value);
    if (size < 0.000_5) {
      return "0";
    }
    if (size >= 100) {
      return String.format(Locale.ROOT, "%,.0f", value);
    }
    return String.format(Locale.ROOT, size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : "%.4f", value);
  }
}
