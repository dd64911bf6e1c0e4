package fennelthread.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The size to plan for: how often each cause occurs for each role in each situation, and the limits
 * beside.
 *
 * @param roles who is planned for
 */
public record Plan(List<Role> roles) {

  /**
   * One role: its situations and its limits.
   *
   * @param copies how many times the needs of the situations add up for it: a service of a region
   *     bears those of all its cells
   */
  public record Role(
      String name,
      String title,
      double copies,
      List<Situation> situations,
      Map<Quantity, Limit> limits) {

    /** The limit of a quantity, if there is one. */
    public Optional<Limit> limit(Quantity quantity) {
      return Optional.ofNullable(limits.get(quantity));
    }
  }

  /** How often each cause occurs at a moment, by cause. */
  public record Situation(String name, Map<String, Double> counts) {}

  /**
   * What a quantity may come to.
   *
   * @param most the limit in the quantity's unit
   * @param why where the limit comes from
   * @param mechanism what keeps the quantity below it, and whether that exists
   */
  public record Limit(double most, String why, String mechanism) {}

  /** Reads a plan from a JSON file. */
  public static Plan load(Path file) throws IOException {
    List<Role> roles = new ArrayList<>();
    for (JsonNode item : new ObjectMapper().readTree(file.toFile()).path("roles")) {
      roles.add(
          new Role(
              item.path("name").asText(),
              item.path("title").asText(),
              item.path("copies").asDouble(1),
              situations(item.path("situations")),
              limits(item.path("limits"))));
    }
    return new Plan(List.copyOf(roles));
  }

  private static List<Situation> situations(JsonNode list) {
    List<Situation> situations = new ArrayList<>();
    list.fields()
        .forEachRemaining(
            situation -> {
              Map<String, Double> counts = new LinkedHashMap<>();
              situation
                  .getValue()
                  .fields()
                  .forEachRemaining(c -> counts.put(c.getKey(), c.getValue().asDouble()));
              situations.add(new Situation(situation.getKey(), counts));
            });
    return situations;
  }

  private static Map<Quantity, Limit> limits(JsonNode list) {
    Map<Quantity, Limit> limits = new LinkedHashMap<>();
    list.fields()
        .forEachRemaining(
            limit -> {
              JsonNode v = limit.getValue();
              limits.put(
                  Quantity.of(limit.getKey()),
                  new Limit(
                      v.path("most").asDouble(),
                      v.path("why").asText(),
                      v.path("mechanism").asText()));
            });
    return limits;
  }
}
