package fennelthread.simulation;

import java.util.List;

/** Random user requests and faults, drawn from the network's main generator. */
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

  /**
   * Schedules user requests every 0.5 to 3.5 s until {@code untilMs}, with a fault at every fourth
   * on average.
   */
  void runUntil(long untilMs) {
    network.after(
        500 + network.random.nextInt(3_000),
        () -> {
          if (network.now() > untilMs) {
            return;
          }
          users.submit(jobs.randomJob());
          if (!users.jobs.isEmpty() && network.random.nextInt(5) == 0) {
            users.cancel(users.jobs.get(network.random.nextInt(users.jobs.size())).id());
          }
          users.askUnknown();
          if (network.random.nextInt(4) == 0) {
            injectFault();
          }
          runUntil(untilMs);
        });
  }

  private void injectFault() {
    String member = "nodo-" + network.random.nextInt(cluster.controllers().size());
    String leader = cluster.leader();
    String leaderOrMember = leader == null ? member : leader;
    List<WorkerEmulator> workers = List.copyOf(cluster.cloud.machines().values());
    WorkerEmulator worker =
        workers.isEmpty() ? null : workers.get(network.random.nextInt(workers.size()));
    long durationMs = 1_000L + network.random.nextInt(20_000);
    switch (network.random.nextInt(14)) {
      case 0 -> cluster.crash(member, 3_000);
      case 1 -> cluster.crash(leaderOrMember, 5_000);
      case 2 ->
          List.copyOf(cluster.controllers().keySet())
              .forEach(m -> cluster.crash(m, durationMs / 2));
      case 3 -> cluster.state.outage(durationMs);
      case 4 -> cluster.state.refuseCaller(leaderOrMember, durationMs);
      case 5 -> cluster.cloud.outage(durationMs);
      case 6 -> cluster.processes.get(leaderOrMember).pause(durationMs);
      case 7 -> network.cut(leaderOrMember, "state", durationMs);
      case 8 -> network.cut(leaderOrMember, "n-", durationMs);
      case 9 -> network.cut(member, leaderOrMember, durationMs);
      case 10 -> {
        if (worker != null) {
          network.cut(worker.name(), "nodo", durationMs);
        }
      }
      case 11 -> {
        if (worker != null) {
          worker.hang(durationMs);
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
          worker.failTasks(durationMs);
        }
      }
    }
  }
}
