package fennelthread.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import fennelthread.constants.SettingsConstants;
import fennelthread.wire.JobSpec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's settings (TOML). Unknown fields are ignored, as the platform asks. */
public record Settings(
    String member,
    String site,
    String apiAddr,
    String meshAddr,
    List<Peer> peers,
    String cloudAddr,
    String stateAddr,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    Workers workers,
    State state,
    Cloud cloud,
    int maxConnections) {

  /**
   * Another controller; {@code site} is the zone that it is in, empty if the settings do not say.
   */
  public record Peer(String member, String site, String addr) {}

  /** A team's guarantee and caps; a cap of 0 means that there is none. */
  public record Team(String name, double cpus, double cpusMax, double cards, double cardsMax) {}

  /** What is expected of a class of jobs; {@code jobClass} may be null. */
  public record Objective(
      String kind, String jobClass, double withinS, double share, double times) {}

  /** Timing of workers. */
  public record Workers(long reportMs, long leaseMs, long cancelMs) {}

  /** Limits of the state service: of those it has now and those it will have, the lower ones. */
  public record State(double rps, double writeRps, int valueBytes, int txnOps) {

    /** The lower of each limit: the change comes without notice. */
    State lowest(State next) {
      return new State(
          Math.min(rps, next.rps),
          Math.min(writeRps, next.writeRps),
          Math.min(valueBytes, next.valueBytes),
          Math.min(txnOps, next.txnOps));
    }
  }

  /** Limits of the cloud. */
  public record Cloud(double rps, long listLagMs) {}

  /** True if some objective names a waiting time for the class. */
  public boolean waitsMatter(String jobClass) {
    for (Objective o : objectives) {
      if (o.kind().equals("wait") && jobClass.equals(o.jobClass())) {
        return true;
      }
    }
    return false;
  }

  /**
   * The times from its submission by which a job of the class should be done, s: its own deadline,
   * that deadline times what objectives allow, and what objectives say of the class. The deadline
   * counts from the submission, all else from when the job no longer {@code waitedS} for others.
   */
  public List<Double> doneByS(String jobClass, double deadlineS, double waitedS) {
    List<Double> times = new ArrayList<>();
    if (deadlineS > 0) {
      times.add(deadlineS);
    }
    for (Objective o : objectives) {
      if (!jobClass.equals(o.jobClass())) {
        continue;
      }
      if (o.kind().equals("finished") && o.withinS() > 0) {
        times.add(waitedS + o.withinS());
      } else if (o.kind().equals("deadline") && deadlineS > 0 && o.times() > 0) {
        times.add(deadlineS * o.times());
      }
    }
    return times;
  }

  /** The last time from its submission that its deadline and the objectives set for a job, s. */
  public double lastDeadlineS(JobSpec spec) {
    double last = spec.deadlineS();
    for (Objective o : objectives) {
      if (o.kind().equals("deadline") && spec.jobClass().equals(o.jobClass())) {
        last = Math.max(last, spec.deadlineS() * o.times());
      }
    }
    return last;
  }

  /** How many connections of our own we may have at once. */
  public int mostOutbound() {
    return Math.max(4, (int) (maxConnections * SettingsConstants.OUTBOUND_SHARE));
  }

  /** True if some objective names the price. */
  public boolean priceMatters() {
    return objectives.stream()
        .anyMatch(o -> o.kind().contains("price") || o.kind().contains("cost"));
  }

  /** Reads and checks a file. */
  public static Settings load(Path file) throws SettingsException {
    JsonNode root;
    try (JsonParser parser = new TomlFactory().createParser(Files.readString(file))) {
      parser.nextToken();
      root = tree(parser);
    } catch (IOException e) {
      String why =
          e.getMessage() == null ? e.toString() : e.getMessage().lines().findFirst().orElse("");
      throw new SettingsException(file + ": can't be read: " + why);
    }
    return new Reader(file.toString(), root).settings();
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

  private record Reader(String file, JsonNode root) {

    Settings settings() throws SettingsException {
      List<Peer> peers = new ArrayList<>();
      for (JsonNode n : root.path("siblings")) {
        peers.add(
            new Peer(
                text(n, "siblings.", "member"),
                n.path("site").asText(""),
                address(n, "siblings.", "addr")));
      }
      JsonNode cluster = object("cluster");
      List<String> zones = new ArrayList<>();
      cluster.path("zones").forEach(z -> zones.add(z.asText()));
      Map<String, Team> teams = new TreeMap<>();
      for (JsonNode n : cluster.path("teams")) {
        String at = "cluster.teams.";
        Team team =
            new Team(
                text(n, at, "name"),
                number(n, at, "cpus", 0, 0.0),
                number(n, at, "cpus_max", 0, 0.0),
                number(n, at, "gpus", 0, 0.0),
                number(n, at, "gpus_max", 0, 0.0));
        teams.put(team.name(), team);
      }
      if (teams.isEmpty()) {
        throw wrong("cluster.teams", "is missing");
      }
      List<Objective> objectives = new ArrayList<>();
      for (JsonNode n : cluster.path("objectives")) {
        String at = "cluster.objectives.";
        objectives.add(
            new Objective(
                text(n, at, "kind"),
                n.hasNonNull("class") ? text(n, at, "class") : null,
                number(n, at, "within_s", 0, 0.0),
                number(n, at, "share", 0, 0.0),
                number(n, at, "times", 0, 0.0)));
      }
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
          List.copyOf(peers),
          address(endpoints, "endpoints.", "cloud"),
          address(endpoints, "endpoints.", "state"),
          List.copyOf(zones),
          teams,
          List.copyOf(objectives),
          new Workers(
              millis(workers, "cluster.workers.", "report_s"),
              millis(workers, "cluster.workers.", "lease_s"),
              millis(workers, "cluster.workers.", "cancel_s")),
          limits(state, "cluster.state.", null),
          new Cloud(
              number(cloud, "cluster.cloud.", "rps", 0.01, null),
              millis(cloud, "cluster.cloud.", "list_lag_s")),
          (int) number(limits, "cluster.machine_limits.", "max_connections", 16, 1024.0));
    }

    /** Reads limits; those absent are as {@code known} has them, or missing if that is null. */
    private State limits(JsonNode in, String at, State known) throws SettingsException {
      State here =
          new State(
              number(in, at, "rps", 1, known == null ? null : known.rps),
              number(in, at, "write_rps", 1, known == null ? null : known.writeRps),
              (int)
                  (number(in, at, "value_kb", 1, known == null ? null : known.valueBytes / 1024.0)
                      * 1024),
              (int) number(in, at, "txn_ops", 2, known == null ? null : (double) known.txnOps));
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
}
