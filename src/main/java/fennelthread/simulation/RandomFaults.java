package fennelthread.simulation;

import java.util.List;

/** Users and troubles at random, all drawn from the network's chance. */
final class RandomFaults {
  private final SimulatedCluster cluster;
  private final SimulatedNetwork network;
  private final SimulatedUsers users;
  private final RandomJobs jobs;

  RandomFaults(SimulatedCluster cluster, SimulatedUsers users, RandomJobs jobs) {
    this.cluster = cluster;
    this.network = cluster.world;
    this.users = users;
    this.jobs = jobs;
  }

  /** Users and troubles at random until {@code untilMs}. */
  void until(long untilMs) {
    network.after(
        500 + network.random.nextInt(3_000),
        () -> {
          if (network.now() > untilMs) {
            return;
          }
          users.submit(jobs.any());
          if (!users.jobs.isEmpty() && network.random.nextInt(5) == 0) {
            users.cancel(users.jobs.get(network.random.nextInt(users.jobs.size())).id());
          }
          users.askUnknown();
          if (network.random.nextInt(4) == 0) {
            trouble();
          }
          until(untilMs);
        });
  }

  private void trouble() {
    String member = "nodo-" + network.random.nextInt(cluster.controllers().size());
    String leads = cluster.leader();
    String busiest = leads == null ? member : leads;
    List<WorkerEmulator> all = List.copyOf(cluster.cloud.machines().values());
    WorkerEmulator worker = all.isEmpty() ? null : all.get(network.random.nextInt(all.size()));
    long span = 1_000L + network.random.nextInt(20_000);
    switch (network.random.nextInt(14)) {
      case 0 -> cluster.crash(member, 3_000);
      case 1 -> cluster.crash(busiest, 5_000);
      case 2 ->
          List.copyOf(cluster.controllers().keySet()).forEach(m -> cluster.crash(m, span / 2));
      case 3 -> cluster.state.outage(span);
      case 4 -> cluster.state.refuseCaller(busiest, span);
      case 5 -> cluster.cloud.outage(span);
      case 6 -> cluster.processes.get(busiest).pause(span);
      case 7 -> network.cut(busiest, "state", span);
      case 8 -> network.cut(busiest, "n-", span);
      case 9 -> network.cut(member, busiest, span);
      case 10 -> {
        if (worker != null) {
          network.cut(worker.name(), "nodo", span);
        }
      }
      case 11 -> {
        if (worker != null) {
          worker.hang(span);
        }
      }
      case 12 -> {
        if (worker != null) {
          cluster.cloud.terminate(worker, true);
        }
      }
      default -> {
        if (worker != null && worker.spot()) {
          worker.announceTermination(4_000);
          network.after(4_000, () -> cluster.cloud.terminate(worker, false));
        } else if (worker != null) {
          worker.failTasks(span);
        }
      }
    }
  }
}
