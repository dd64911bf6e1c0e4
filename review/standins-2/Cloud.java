import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The cloud of PROTOCOL-fennelthread.md with a fixed fleet: it rents nothing out beyond the machines that are up at the
 * start ("no capacity"), and takes them back when it is asked to.
 */
final class Cloud {
  final Http.Server server;
  private final Map<String, Worker> machines = new LinkedHashMap<>();
  private final Map<String, Object> type;
  private final long startedAtMs = Stage.nowMs();

  Cloud(String zone, double cpus, double memGb) throws Exception {
    type =
        Cbor.map(
            "label", "galpon", "cpus", cpus, "cards", 0.0, "mem_gb", memGb, "local_gb", 40.0,
            "pull_gb_per_s", 0.8, "hourly", 2.64, "low_price", 0.66, "startup_s", 30.0, "zonas",
            List.of(zone));
    server = new Http.Server(this::handle);
  }

  synchronized void add(Worker worker) {
    machines.put(worker.name, worker);
  }

  private synchronized Http.Answer handle(Http.Request request) {
    String path = request.path();
    if (path.equals("/flavors")) {
      return new Http.Answer(200, Cbor.map("modelos", List.of(type)));
    }
    if (path.equals("/hosts") && request.method().equals("POST")) {
      return new Http.Answer(503, Cbor.map("error", "no capacity"));
    }
    if (path.equals("/hosts/return")) {
      for (Object name : (List<?>) Cbor.decode(request.body()).get("equipos")) {
        Worker worker = machines.remove((String) name);
        if (worker != null) {
          worker.end();
        }
      }
      return new Http.Answer(200, Map.of());
    }
    if (path.startsWith("/hosts")) {
      return new Http.Answer(200, Cbor.map("equipos", listed(path), "more", false));
    }
    return new Http.Answer(404, Cbor.map("error", "unknown path"));
  }

  private List<Object> listed(String path) {
    Map<String, String> query = new HashMap<>();
    int mark = path.indexOf('?');
    if (mark >= 0) {
      for (String pair : path.substring(mark + 1).split("&")) {
        query.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
      }
    }
    List<Object> found = new ArrayList<>();
    for (Worker worker : machines.values()) {
      if (worker.name.compareTo(query.getOrDefault("since", "")) > 0) {
        found.add(
            Cbor.map(
                "name_id", worker.name, "address", worker.server.address(), "modelo", "galpon",
                "zona", worker.zone, "prestadas", false, "estado", "running", "held_s",
                100 + (Stage.nowMs() - startedAtMs) / 1000.0));
      }
    }
    return found;
  }
}
