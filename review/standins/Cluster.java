import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment: three controllers, the state service, the cloud and three machines. */
final class Cluster {
  private static final int CONTROLLERS = 3;
  private static final int MACHINES = 3;

  final Controllers controllers;
  final StateService state;
  final List<Worker> workers = new ArrayList<>();

  /** The CPUs and the run time, s, of the tasks of each job that a user has uploaded. */
  final Map<String, double[]> jobs = new ConcurrentHashMap<>();

  /** When the first task of each job was started, s. */
  private final Map<String, Double> startsS = new ConcurrentHashMap<>();

  /** What differs between the deployments: limits of the state service, and the workers' times. */
  record Site(
      int rps, int writeRps, int valueKb, int txnOps, long reportMs, long leaseMs, long cancelMs) {
    /** As in kit/sites/objetos-perdidos-rosario.toml. */
    static final Site ROSARIO = new Site(200, 60, 16, 12, 1_500, 10_000, 35_000);

    /** As in kit/more/fleet/objetos-perdidos-rosario-fleet.toml. */
    static final Site ROSARIO_FLEET = new Site(800, 250, 16, 12, 4_000, 22_000, 47_000);
  }

  Cluster(Path root, Path folder, Site site, Record record) throws IOException {
    controllers = new Controllers(root, folder, CONTROLLERS, 6_000, record::say);
    Runtime.getRuntime().addShutdownHook(new Thread(controllers::stop));
    state = new StateService(site.rps, site.writeRps, site.valueKb, site.txnOps, 6);
    List<String> stateAddresses = new ArrayList<>();
    for (int i = 0; i < CONTROLLERS; i++) {
      stateAddresses.add("127.0.0.1:" + state.serve().getAddress().getPort());
    }
    for (int i = 0; i < MACHINES; i++) {
      workers.add(
          new Worker(
              "n-00000" + i, controllers.names(), controllers.api(), Cloud.CPUS, site.reportMs,
              site.leaseMs, jobs::get,
              (kind, text) -> {
                record.add(kind, text);
                if (kind.equals("start")) {
                  startsS.putIfAbsent(text.substring(0, text.indexOf('/')), record.seconds());
                }
              }));
    }
    Cloud cloud = new Cloud(workers);
    controllers.configure(
        stateAddresses, "127.0.0.1:" + cloud.serve().getAddress().getPort(), settings(site));
  }

  /** Starts everything; false if the controllers do not answer the health check in time. */
  boolean start() throws IOException, InterruptedException {
    controllers.start();
    workers.forEach(Worker::start);
    return controllers.awaitUp(15_000);
  }

  int startedTasks() {
    return workers.stream().mapToInt(Worker::started).sum();
  }

  /** When the first task of a job was started, s; null if none was. */
  Double startedAtS(String job) {
    return startsS.get(job);
  }

  /** How many machines run nothing. */
  int idleMachines() {
    return (int) workers.stream().filter(Worker::isIdle).count();
  }

  private static String settings(Site site) {
    return """
        [cluster]
        count = 3
        zones = ["sede-centro"]
        clock_error_ms = 1000.0
        [[cluster.teams]]
        name = "mostrador"
        cpus = 88.0
        cpus_max = 500.0
        gpus = 0.0
        gpus_max = 0.0
        [[cluster.teams]]
        name = "deposito"
        cpus = 120.0
        cpus_max = 500.0
        gpus = 0.0
        gpus_max = 0.0
        [cluster.workers]
        report_s = %d.%03d
        lease_s = %d.0
        gang_wait_s = 35.0
        gang_peer_s = 4.0
        cancel_s = %d.0
        [cluster.state]
        rps = %d.0
        write_rps = %d.0
        value_kb = %d.0
        txn_ops = %d
        [cluster.cloud]
        rps = 3.0
        list_lag_s = 12.0
        [cluster.machine_limits]
        cpu = 0.17
        ram_mb = 176.0
        max_connections = 900
        """
        .formatted(
            site.reportMs / 1000, site.reportMs % 1000, site.leaseMs / 1000, site.cancelMs / 1000,
            site.rps, site.writeRps, site.valueKb, site.txnOps);
  }

  /** A submission of an array of tasks; {@code runS} is also how long each of them runs. */
  Map<String, Object> array(String id, int tasks, double cpus, double runS) {
    jobs.put(id, new double[] {cpus, runS});
    return Http.map(
        "name_id", id, "clase", "cotejo-nocturno", "dueno", "deposito", "tipo", "sweep", "prioridad",
        "standard", "tareas", (long) tasks, "cpus", cpus, "cards", 0.0, "mem_gb", 0.5, "imagen",
        "img-01", "pull_gb", 0.1, "modelos", null, "zona", null, "same_place", false, "apart",
        false, "prestadas", true, "estimado_s", runS, "resguardo_s", 0.0, "guardado_s", 0.0,
        "plazo_s", null);
  }
}
