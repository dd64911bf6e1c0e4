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

/** Reads the platform's settings file, and names the first field that is missing or wrong. */
final class SettingsReader {
  private static final String TEAMS = "cluster.teams.";
  private static final String OBJECTIVES = "cluster.objectives.";
  private static final String WORKERS = "cluster.workers.";

  private final String file;
  private final JsonNode root;

  private SettingsReader(String file, JsonNode root) {
    this.file = file;
    this.root = root;
  }

  /** Reads a file. */
  static Settings read(Path file) throws SettingsException {
    JsonNode root;
    try (JsonParser parser = new TomlFactory().createParser(Files.readString(file))) {
      parser.nextToken();
      root = tree(parser);
    } catch (IOException e) {
      String why =
          e.getMessage() == null ? e.toString() : e.getMessage().lines().findFirst().orElse("");
      throw new SettingsException(file + ": can't be read: " + why);
    }
    return new SettingsReader(file.toString(), root).settings();
  }

  /** Builds the tree by hand: a mapper would load hundreds of classes more at each start. */
  private static JsonNode tree(JsonParser parser) throws IOException {
    JsonNodeFactory nodes = JsonNodeFactory.instance;
    switch (parser.currentToken()) {
      case START_OBJECT -> {
        ObjectNode object = nodes.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
          String name = parser.currentName();
          parser.nextToken();
          object.set(name, tree(parser));
        }
        return object;
      }
      case START_ARRAY -> {
        ArrayNode array = nodes.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          array.add(tree(parser));
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

  private Settings settings() throws SettingsException {
    List<Settings.Peer> peers = peers();
    JsonNode cluster = object("cluster");
    List<String> zones = new ArrayList<>();
    cluster.path("zones").forEach(zone -> zones.add(zone.asText()));
    Map<String, Settings.Team> teams = teams(cluster);
    List<Settings.Objective> objectives = objectives(cluster);
    JsonNode workers = object(cluster, "cluster.", "workers");
    JsonNode state = object(cluster, "cluster.", "state");
    JsonNode cloud = object(cluster, "cluster.", "cloud");
    JsonNode endpoints = object("endpoints");
    JsonNode limits = cluster.path("machine_limits");
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
            millis(workers, WORKERS, "report_s"),
            millis(workers, WORKERS, "lease_s"),
            millis(workers, WORKERS, "cancel_s")),
        limits(state, "cluster.state.", null),
        new Settings.CloudLimits(
            number(cloud, "cluster.cloud.", "rps", 0.01, null),
            millis(cloud, "cluster.cloud.", "list_lag_s")),
        (int) number(limits, "cluster.machine_limits.", "max_connections", 16, 1024.0));
  }

  private List<Settings.Peer> peers() throws SettingsException {
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

  private Map<String, Settings.Team> teams(JsonNode cluster) throws SettingsException {
    Map<String, Settings.Team> teams = new TreeMap<>();
    for (JsonNode node : cluster.path("teams")) {
      Settings.Team team =
          new Settings.Team(
              text(node, TEAMS, "name"),
              number(node, TEAMS, "cpus", 0, 0.0),
              number(node, TEAMS, "cpus_max", 0, 0.0),
              number(node, TEAMS, "gpus", 0, 0.0),
              number(node, TEAMS, "gpus_max", 0, 0.0));
      teams.put(team.name(), team);
    }
    if (teams.isEmpty()) {
      throw wrong("cluster.teams", "is missing");
    }
    return teams;
  }

  private List<Settings.Objective> objectives(JsonNode cluster) throws SettingsException {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (JsonNode node : cluster.path("objectives")) {
      objectives.add(
          new Settings.Objective(
              text(node, OBJECTIVES, "kind"),
              node.hasNonNull("class") ? text(node, OBJECTIVES, "class") : null,
              number(node, OBJECTIVES, "within_s", 0, 0.0),
              number(node, OBJECTIVES, "share", 0, 0.0),
              number(node, OBJECTIVES, "times", 0, 0.0)));
    }
    return List.copyOf(objectives);
  }

  /** Reads limits; those absent are as {@code known} has them, or missing if that is null. */
  private Settings.StateLimits limits(JsonNode in, String at, Settings.StateLimits known)
      throws SettingsException {
    Settings.StateLimits here =
        new Settings.StateLimits(
            number(in, at, "rps", 1, known == null ? null : known.rps()),
            number(in, at, "write_rps", 1, known == null ? null : known.writeRps()),
            (int)
                (number(in, at, "value_kb", 1, known == null ? null : known.valueBytes() / 1024.0)
                    * 1024),
            (int) number(in, at, "txn_ops", 2, known == null ? null : (double) known.txnOps()));
    if (known != null) {
      return known.lowest(here);
    }
    JsonNode next = in.path("next");
    if (next.isMissingNode()) {
      return here;
    }
    return limits(object(in, at, "next"), at + "next.", here);
  }

  private JsonNode object(String name) throws SettingsException {
    return object(root, "", name);
  }

  private JsonNode object(JsonNode in, String at, String name) throws SettingsException {
    JsonNode n = in.path(name);
    if (!n.isObject()) {
      throw wrong(at + name, n.isMissingNode() ? "is missing" : "must be a table");
    }
    return n;
  }

  private String text(JsonNode in, String at, String name) throws SettingsException {
    JsonNode n = in.path(name);
    if (n.isMissingNode()) {
      throw wrong(at + name, "is missing");
    }
    if (!n.isTextual() || n.asText().isEmpty()) {
      throw wrong(at + name, "must be text that is not empty");
    }
    return n.asText();
  }

  private String address(JsonNode in, String at, String name) throws SettingsException {
    String addr = text(in, at, name);
    int colon = addr.lastIndexOf(':');
    try {
      int port = Integer.parseInt(addr.substring(colon + 1));
      if (colon > 0 && port > 0 && port < 65536) {
        return addr;
      }
    } catch (NumberFormatException e) {
      // Falls through to the one message for every malformed address.
    }
    throw wrong(at + name, "must be an address of the form 10.0.0.1:8080");
  }

  private double number(JsonNode in, String at, String name, double least, Double fallback)
      throws SettingsException {
    JsonNode n = in.path(name);
    if (n.isMissingNode()) {
      if (fallback != null) {
        return fallback;
      }
      throw wrong(at + name, "is missing");
    }
    if (!n.isNumber() || !Double.isFinite(n.asDouble()) || n.asDouble() < least) {
      throw wrong(at + name, "must be a number of at least " + least);
    }
    return n.asDouble();
  }

  private long millis(JsonNode in, String at, String name) throws SettingsException {
    return Math.round(number(in, at, name, 0.001, null) * 1000);
  }

  private SettingsException wrong(String field, String why) {
    return new SettingsException(file + ": " + field + " " + why);
  }
}
