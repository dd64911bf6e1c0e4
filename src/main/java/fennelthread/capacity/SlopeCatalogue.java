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

/** All measured slopes, with where they come from; kept as one JSON file. */
public final class SlopeCatalogue {
  private final Map<String, Slope> slopes = new TreeMap<>();
  private final Map<String, String> sources = new TreeMap<>();

  /** Adds or replaces a slope; {@code source} says by what run it was measured. */
  public void put(Slope slope, String source) {
    slopes.put(slope.id(), slope);
    sources.put(slope.id(), source);
  }

  /** Forgets a slope, if it is there. */
  public void remove(String role, String cause, Quantity quantity) {
    slopes.remove(role + "/" + cause + "/" + quantity.id());
  }

  /** A slope, if it was measured. */
  public Optional<Slope> find(String role, String cause, Quantity quantity) {
    return Optional.ofNullable(slopes.get(role + "/" + cause + "/" + quantity.id()));
  }

  /** All slopes in the order of their names. */
  public Collection<Slope> all() {
    return slopes.values();
  }

  /** By what run a slope was measured. */
  public String sourceOf(Slope slope) {
    return sources.get(slope.id());
  }

  /** Reads a file that {@link #save} wrote. */
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

  /** Writes all slopes to a file. */
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
      for (LinearFit.Point p : slope.points()) {
        points.addArray().add(rounded(p.count())).add(rounded(p.value()));
      }
    }
    Files.writeString(
        file, mapper.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsString(root) + "\n");
  }

  private static double rounded(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }
}
