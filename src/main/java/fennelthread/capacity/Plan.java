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
 * The load to plan for: how often each cause occurs for each role in each situation, and the limits
 * of each role's quantities.
 *
 * @param roles the planned roles, in the order of the file
 */
public record Plan(List<Role> roles) {

  /**
   * The plan of one role.
   *
   * @param name the role's name in the slope catalogue
   * @param title heading of the role in the tables
   * @param copies factor on all estimates of the role: a service that a region shares bears the
   *     load of all its cells
   * @param situations the loads to estimate, in the order of the file
   * @param limits the limits by quantity; a quantity may have none
   */
  public record Role(
      String name,
      String title,
      double copies,
      List<Situation> situations,
      Map<Quantity, Limit> limits) {

    /** Returns the limit of a quantity; empty if the plan sets none. */
    public Optional<Limit> limit(Quantity quantity) {
      return Optional.ofNullable(limits.get(quantity));
    }
  }

  /** A named load: how often each cause occurs, by the cause's name in the slope catalogue. */
  public record Situation(String name, Map<String, Double> counts) {}

  /**
   * The largest admissible value of a quantity.
   *
   * @param max the limit in the quantity's unit
   * @param reason where the limit comes from
   * @param mechanism what keeps the quantity below it, and whether that exists
   */
  public record Limit(double max, String reason, String mechanism) {}

  /**
   * Reads a plan from a JSON file.
   *
   * @throws IOException if the file is unreadable or no JSON
   * @throws IllegalArgumentException if a limit names an unknown quantity
   */
  public static Plan load(Path file) throws IOException {
    List<Role> roles = new ArrayList<>();
    for (JsonNode item : new ObjectMapper().readTree(file.toFile()).path("roles")) {
      roles.add(
          new Role(
              item.path("name").asText(),
              item.path("title").asText(),
              item.path("copies").asDouble(1),
              parseSituations(item.path("situations")),
              parseLimits(item.path("limits"))));
    }
    return new Plan(List.copyOf(roles));
  }

  private static List<Situation> parseSituations(JsonNode object) {
    List<Situation> situations = new ArrayList<>();
    object
        .fields()
        .forEachRemaining(
            situation -> {
              Map<String, Double> counts = new LinkedHashMap<>();
              situation
                  .getValue()
                  .fields()
                  .forEachRemaining(
                      count -> counts.put(count.getKey(), count.getValue().asDouble()));
              situations.add(new Situation(situation.getKey(), counts));
            });
    return situations;
  }

  private static Map<Quantity, Limit> parseLimits(JsonNode object) {
    Map<Quantity, Limit> limits = new LinkedHashMap<>();
    object
        .fields()
        .forEachRemaining(
            limit -> {
              JsonNode value = limit.getValue();
              limits.put(
                  Quantity.of(limit.getKey()),
                  new Limit(
                      value.path("most").asDouble(),
                      value.path("why").asText(),
                      value.path("mechanism").asText()));
            });
    return limits;
  }
}
