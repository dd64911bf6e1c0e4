package fennelthread.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * All measured slopes, each with the run that measured it; stored as one JSON file. Not
 * thread-safe.
 */
public final class SlopeCatalogue {
  private final Map<String, Slope> slopes = new TreeMap<>();
  private final Map<String, String> sources = new TreeMap<>();

  /** Adds or replaces a slope; {@code source} describes the run that measured it. */
  public void put(Slope slope, String source) {
    slopes.put(slope.id(), slope);
    sources.put(slope.id(), source);
  }

  /** Removes a slope; does nothing if there is none. */
  public void remove(String role, String cause, Quantity quantity) {
    slopes.remove(role + "/" + cause + "/" + quantity.id());
  }

  /** Returns a slope; empty if it was not measured. */
  public Optional<Slope> find(String role, String cause, Quantity quantity) {
    return Optional.ofNullable(slopes.get(role + "/" + cause + "/" + quantity.id()));
  }

  /** Returns all slopes, sorted by {@link Slope#id}. */
  public Collection<Slope> all() {
    return slopes.values();
  }

  /** Returns the description of the run that measured a slope of this catalogue. */
  public String sourceOf(Slope slope) {
    return sources.get(slope.id());
  }

  /**
   * Reads a file that {@link #save} wrote.
   *
   * @throws IOException if the file is unreadable or no JSON
   * @throws IllegalArgumentException if a slope names an unknown quantity
   */
  public static SlopeCatalogue load(Path file) throws IOException {
    SlopeCatalogue catalogue = new SlopeCatalogue();
    for (JsonNode item : new ObjectMapper().readTree(file.toFile()).path("slopes")) {
      List<LinearFit.Point> points = new ArrayList<>();
      for (JsonNode point : item.path("points")) {
        points.add(new LinearFit.Point(point.get(0).asDouble(), point.get(1).asDouble()));
      }
      catalogue.put(
          new Slope(
              item.path("role").asText(),
              item.path("cause").asText(),
              Quantity.of(item.path("quantity").asText()),
              points,
              item.path("note").asText()),
          item.path("source").asText());
    }
    return catalogue;
  }

  /** Writes all slopes to a file, with counts and values rounded to three decimals. */
  public void save(Path file) throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode root = mapper.createObjectNode();
    ArrayNode list = root.putArray("slopes");
    for (Slope slope : slopes.values()) {
      ObjectNode item = list.addObject();
      item.put("role", slope.role());
      item.put("cause", slope.cause());
      item.put("quantity", slope.quantity().id());
      item.put("source", sourceOf(slope));
      item.put("note", slope.note());
      ArrayNode points = item.putArray("points");
      for (LinearFit.Point point : slope.points()) {
        points
            .addArray()
            .add(roundToThousandths(point.count()))
            .add(roundToThousandths(point.value()));
      }
    }
    Files.writeString(
        file, mapper.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsString(root) + "\n");
  }

  private static double roundToThousandths(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }
}
