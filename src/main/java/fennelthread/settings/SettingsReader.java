package fennelthread.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads and validates the platform's settings file; errors name the first field at fault. */
final class SettingsReader {
  private static final String TEAMS_PATH = "cluster.teams.";
  private static final String OBJECTIVES_PATH = "cluster.objectives.";
  private static final String WORKERS_PATH = "cluster.workers.";

  private final String file;
  private final JsonNode root;

  private SettingsReader(String file, JsonNode root) {
    this.file = file;
    this.root = root;
  }

  /** Reads and validates a file. */
  static Settings read(Path file) throws SettingsException {
    JsonNode root;
    try (JsonParser parser = new TomlFactory().createParser(Files.readString(file))) {
      parser.nextToken();
      root = readTree(parser);
    } catch (IOException e) {
      String reason =
          e.getMessage() == null ? e.toString() : e.getMessage().lines().findFirst().orElse("");
      throw new SettingsException(file + ": can't be read: " + reason);
    }
    return new SettingsReader(file.toString(), root).readSettings();
  }

  /**
   * Builds the tree without an object mapper, which would load hundreds of classes at each start.
   */
  private static JsonNode readTree(JsonParser parser) throws IOException {
    JsonNodeFactory nodes = JsonNodeFactory.instance;
    switch (parser.currentToken()) {
      case START_OBJECT -> {
        ObjectNode object = nodes.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
          String name = parser.currentName();
          parser.nextToken();
          object.set(name, readTree(parser));
        }
        return object;
      }
      case START_ARRAY -> {
        ArrayNode array = nodes.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          array.add(readTree(parser));
        }
        return array;
      }
      case VALUE_NUMBER_INT -> {
        return nodes.numberNode(parser.getBigIntegerValue());
      }
      case VALUE_NUMBER_FLOAT -> {
        return nodes.numberNode(parser.getDoubleValue());
      }
      case VALUE_TRUE, VALUE_FALSE -> {
        return nodes.booleanNode(parser.getBooleanValue());
      }
      default -> {
        return nodes.textNode(parser.getText());
      }
    }
  }

  private Settings readSettings() throws SettingsException {
    List<Settings.Peer> peers = readPeers();
    JsonNode cluster = object("cluster");
    List<String> zones = new ArrayList<>();
    cluster.path("zones").forEach(zone -> zones.add(zone.asText()));
    Map<String, Settings.Team> teams = readTeams(cluster);
    List<Settings.Objective> objectives = readObjectives(cluster);
    JsonNode workers = object(cluster, "cluster.", "workers");
    JsonNode state = object(cluster, "cluster.", "state");
    JsonNode cloud = object(cluster, "cluster.", "cloud");
    JsonNode endpoints = object("endpoints");
    JsonNode machineLimits = cluster.path("machine_limits");
    return new Settings(
        text(root, "", "member"),
        text(root, "", "site"),
        address(root, "", "api_addr"),
        address(root, "", "mesh_addr"),
        peers,
        address(endpoints, "endpoints.", "cloud"),
        address(endpoints, "endpoints.", "state"),
        List.copyOf(zones),
        teams,
        objectives,
        new Settings.WorkerTiming(
            millis(workers, WORKERS_PATH, "report_s"),
            millis(workers, WORKERS_PATH, "lease_s"),
            millis(workers, WORKERS_PATH, "cancel_s")),
        readStateLimits(state, "cluster.state.", null),
        new Settings.CloudLimits(
            number(cloud, "cluster.cloud.", "rps", 0.01, null),
            millis(cloud, "cluster.cloud.", "list_lag_s")),
        (int) number(machineLimits, "cluster.machine_limits.", "max_connections", 16, 1024.0));
  }

  private List<Settings.Peer> readPeers() throws SettingsException {
    List<Settings.Peer> peers = new ArrayList<>();
    for (JsonNode peer : root.path("siblings")) {
      peers.add(
          new Settings.Peer(
              text(peer, "siblings.", "member"),
              peer.path("site").asText(""),
              address(peer, "siblings.", "addr")));
    }
    return List.copyOf(peers);
  }

  private Map<String, Settings.Team> readTeams(JsonNode cluster) throws SettingsException {
    Map<String, Settings.Team> teams = new TreeMap<>();
    for (JsonNode node : cluster.path("teams")) {
      Settings.Team team =
          new Settings.Team(
              text(node, TEAMS_PATH, "name"),
              number(node, TEAMS_PATH, "cpus", 0, 0.0),
              number(node, TEAMS_PATH, "cpus_max", 0, 0.0),
              number(node, TEAMS_PATH, "gpus", 0, 0.0),
              number(node, TEAMS_PATH, "gpus_max", 0, 0.0));
      teams.put(team.name(), team);
    }
    if (teams.isEmpty()) {
      throw invalid("cluster.teams", "is missing");
    }
    return teams;
  }

  private List<Settings.Objective> readObjectives(JsonNode cluster) throws SettingsException {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (JsonNode node : cluster.path("objectives")) {
      objectives.add(
          new Settings.Objective(
              text(node, OBJECTIVES_PATH, "kind"),
              node.hasNonNull("class") ? text(node, OBJECTIVES_PATH, "class") : null,
              number(node, OBJECTIVES_PATH, "within_s", 0, 0.0),
              number(node, OBJECTIVES_PATH, "share", 0, 0.0),
              number(node, OBJECTIVES_PATH, "times", 0, 0.0)));
    }
    return List.copyOf(objectives);
  }

  /**
   * Reads the limits of the state service, and lowers them to the announced future ones.
   *
   * @param current the current limits, which are the defaults while the future ones are read; null
   *     while the current ones are read, all of which must be present
   */
  private Settings.StateLimits readStateLimits(
      JsonNode parent, String path, Settings.StateLimits current) throws SettingsException {
    Settings.StateLimits limits =
        new Settings.StateLimits(
            number(parent, path, "rps", 1, current == null ? null : current.rps()),
            number(parent, path, "write_rps", 1, current == null ? null : current.writeRps()),
            (int)
                (number(
                        parent,
                        path,
                        "value_kb",
                        1,
                        current == null ? null : current.valueBytes() / 1024.0)
                    * 1024),
            (int)
                number(
                    parent,
                    path,
                    "txn_ops",
                    2,
                    current == null ? null : (double) current.txnOps()));
    if (current != null) {
      return current.lowest(limits);
    }
    JsonNode next = parent.path("next");
    if (next.isMissingNode()) {
      return limits;
    }
    return readStateLimits(object(parent, path, "next"), path + "next.", limits);
  }

  private JsonNode object(String name) throws SettingsException {
    return object(root, "", name);
  }

  private JsonNode object(JsonNode parent, String path, String name) throws SettingsException {
    JsonNode node = parent.path(name);
    if (!node.isObject()) {
      throw invalid(path + name, node.isMissingNode() ? "is missing" : "must be a table");
    }
    return node;
  }

  private String text(JsonNode parent, String path, String name) throws SettingsException {
    JsonNode node = parent.path(name);
    if (node.isMissingNode()) {
      throw invalid(path + name, "is missing");
    }
    if (!node.isTextual() || node.asText().isEmpty()) {
      throw invalid(path + name, "must be text that is not empty");
    }
    return node.asText();
  }

  private String address(JsonNode parent, String path, String name) throws SettingsException {
    String addr = text(parent, path, name);
    int colon = addr.lastIndexOf(':');
    try {
      int port = Integer.parseInt(addr.substring(colon + 1));
      if (colon > 0 && port > 0 && port < 65536) {
        return addr;
      }
    } catch (NumberFormatException e) {
      // Reported below with the same message as any other malformed address.
    }
    throw invalid(path + name, "must be an address of the form 10.0.0.1:8080");
  }

  private double number(JsonNode parent, String path, String name, double min, Double fallback)
      throws SettingsException {
    JsonNode node = parent.path(name);
    if (node.isMissingNode()) {
      if (fallback != null) {
        return fallback;
      }
      throw invalid(path + name, "is missing");
    }
    if (!node.isNumber() || !Double.isFinite(node.asDouble()) || node.asDouble() < min) {
      throw invalid(path + name, "must be a number of at least " + min);
    }
    return node.asDouble();
  }

  private long millis(JsonNode parent, String path, String name) throws SettingsException {
    return Math.round(number(parent, path, name, 0.001, null) * 1000);
  }

  private SettingsException invalid(String field, String reason) {
    return new SettingsException(file + ": " + field + " " + reason);
  }
}
