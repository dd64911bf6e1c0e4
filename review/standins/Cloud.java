import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The cloud with one machine type, machines that are up at the start, and no capacity beyond. */
final class Cloud {
  /** The name, the CPUs and the memory, GB, of the machine type. */
  static final String TYPE = "caja-chica";

  static final double CPUS = 4;
  private static final double MEM_GB = 16;

  /** The only zone. */
  static final String ZONE = "sede-centro";

  private final List<Worker> workers;

  Cloud(List<Worker> workers) {
    this.workers = workers;
  }

  HttpServer serve() throws IOException {
    return Http.serve(this::handle);
  }

  private Http.Answer handle(String method, String path, Map<String, Object> body)
      throws Exception {
    Thread.sleep(100);
    if (path.equals("/flavors")) {
      return new Http.Answer(
          200,
          Http.map(
              "modelos",
              List.of(
                  Http.map(
                      "label", TYPE, "cpus", CPUS, "cards", 0.0, "mem_gb", MEM_GB, "local_gb", 50.0,
                      "pull_gb_per_s", 0.25, "hourly", 0.26, "low_price", 0.06, "startup_s", 35.0,
                      "zonas", List.of(ZONE)))));
    }
    if (method.equals("GET")) {
      List<Object> items = new ArrayList<>();
      for (Worker worker : workers) {
        if (!worker.isGone()) {
          items.add(
              Http.map(
                  "name_id", worker.name(), "address", worker.address(), "modelo", TYPE, "zona",
                  ZONE, "prestadas", false, "estado", "running", "held_s", 1000.0));
        }
      }
      return new Http.Answer(200, Http.map("equipos", items, "more", false));
    }
    if (path.equals("/hosts/return")) {
      for (Object name : (List<?>) body.get("equipos")) {
        workers.stream().filter(w -> w.name().equals(name)).forEach(Worker::remove);
      }
      return new Http.Answer(200, Map.of());
    }
    return new Http.Answer(503, Http.map("error", "no capacity"));
  }
}
