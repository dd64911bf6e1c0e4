package fennelthread.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** Writes the tables of docs/capacity.md from slopes and a plan. */
public final class CapacityTables {
  private static final String EXTRAPOLATED = " ⁺";

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

  // ---------------------------------------------------------------- roles

  private void role(StringBuilder out, Plan.Role role) {
    out.append("### ").append(role.title()).append("\n\n");
    out.append("| quantity |");
    role.situations().forEach(s -> out.append(' ').append(s.name()).append(" |"));
    out.append(" most of the largest | limit | least margin |\n|");
    out.append(" --- |".repeat(role.situations().size() + 4)).append('\n');
    for (Quantity quantity : Quantity.values()) {
      quantity(out, role, quantity);
    }
    counts(out, role);
    role.limits().forEach((quantity, limit) -> limit(out, quantity, limit));
    out.append('\n');
  }

  private void quantity(StringBuilder out, Plan.Role role, Quantity quantity) {
    List<Optional<Estimate>> estimates = new ArrayList<>();
    Estimate largest = null;
    for (Plan.Situation situation : role.situations()) {
      Optional<Estimate> e =
          Estimate.of(catalogue, role.name(), quantity, situation).map(x -> x.times(role.copies()));
      estimates.add(e);
      if (e.isPresent() && (largest == null || e.get().value() > largest.value())) {
        largest = e.get();
      }
    }
    if (largest == null || largest.value() == 0) {
      return;
    }
    out.append("| ").append(quantity.id()).append(", ").append(quantity.unit()).append(" |");
    estimates.forEach(
        e -> out.append(' ').append(e.map(CapacityTables::cell).orElse("")).append(" |"));
    Optional<Plan.Limit> limit = role.limit(quantity);
    double most = largest.value();
    out.append(
            String.format(
                Locale.ROOT, " %s, %.0f%% |", largest.largestCause(), 100 * largest.largestShare()))
        .append(' ')
        .append(limit.map(l -> number(l.most())).orElse("none set"))
        .append(" | ")
        .append(limit.map(l -> margin(l.most(), most)).orElse(""))
        .append(" |\n");
  }

  private static String cell(Estimate e) {
    return number(e.value()) + " ± " + number(e.error()) + (e.extrapolated() ? EXTRAPOLATED : "");
  }

  private static String margin(double most, double needed) {
    return needed > most
        ? String.format(Locale.ROOT, "**%.1f times too much**", needed / most)
        : String.format(Locale.ROOT, "%.1f times", most / needed);
  }

  private static void counts(StringBuilder out, Plan.Role role) {
    out.append(
        role.copies() == 1
            ? "\nCounts:\n"
            : "\nCounts for each of " + number(role.copies()) + " cells:\n");
    out.append("\n| cause |");
    role.situations().forEach(s -> out.append(' ').append(s.name()).append(" |"));
    out.append("\n|").append(" --- |".repeat(role.situations().size() + 1)).append('\n');
    TreeSet<String> causes = new TreeSet<>();
    role.situations().forEach(s -> causes.addAll(s.counts().keySet()));
    for (String cause : causes) {
      out.append("| ").append(cause).append(" |");
      for (Plan.Situation s : role.situations()) {
        out.append(' ').append(number(s.counts().getOrDefault(cause, 0.0))).append(" |");
      }
      out.append('\n');
    }
    out.append('\n');
  }

  private static void limit(StringBuilder out, Quantity quantity, Plan.Limit limit) {
    out.append("- ")
        .append(quantity.id())
        .append(": the limit is ")
        .append(limit.why())
        .append(". Mechanism: ")
        .append(limit.mechanism())
        .append(".\n");
  }

  // ---------------------------------------------------------------- slopes

  private void slopes(StringBuilder out) {
    out.append("### Slopes\n\n");
    out.append("| role | cause | quantity | slope | at 0 | residual | R² | measured at |\n");
    out.append("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    Map<String, List<String>> flat = new TreeMap<>();
    TreeSet<String> sources = new TreeSet<>();
    for (Slope slope : catalogue.all()) {
      sources.add(catalogue.sourceOf(slope));
      if (slope.grows()) {
        slope(out, slope);
      } else {
        flat.computeIfAbsent(slope.role() + ", " + slope.quantity().id(), k -> new ArrayList<>())
            .add(slope.cause());
      }
    }
    out.append("\nMeasured by: ").append(String.join("; ", sources)).append(".\n");
    out.append("\nNo growth beyond three standard errors was found of:\n\n");
    flat.forEach(
        (what, causes) ->
            out.append("- ")
                .append(what)
                .append(" with ")
                .append(String.join(", ", causes))
                .append('\n'));
    out.append('\n');
  }

  private static void slope(StringBuilder out, Slope slope) {
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
            number(fit.slope()),
            number(fit.slopeError()),
            number(fit.intercept()),
            number(fit.residual()),
            fit.rSquared(),
            fit.isLinear() ? "" : ", no line",
            slope.points().size(),
            number(fit.smallest()),
            number(fit.largest())));
  }

  /** A number with three digits that matter, or all before the point. */
  static String number(double value) {
    double size = Math.abs(value);
    if (size >= 100 || value == Math.rint(value)) {
      return String.format(Locale.ROOT, "%,.0f", value);
    }
    if (size < 0.000_05) {
      return "0";
    }
    return String.format(Locale.ROOT, size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : "%.4f", value);
  }
}
