package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.net.Call;
import fennelthread.wire.Codec;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;

/** How leaders change in tests, what is said around it, and what has to hold afterwards. */
final class LeaderChanges {
  private LeaderChanges() {}

  /** How a leader comes to an end. */
  enum Change {
    /** Its process ends and is back after a few seconds. */
    CRASH,
    /** Its process ends and is back within a moment. */
    QUICK_RESTART,
    /** Its process stands still and goes on as if nothing had happened. */
    FROZEN,
    /** The state service refuses it alone: it resigns and has its grant ended by a peer. */
    STATE_REFUSED,
    /** It loses the state service and the other controllers, not its workers and users. */
    WORKERS_ONLY,
    /** No worker and no controller reaches it, the state service does: it resigns. */
    UNREACHABLE
  }

  /** Ends whoever leads in this way; does nothing while nobody leads. */
  static void endLeader(SimulatedCluster cluster, Change change) {
    String leader = cluster.leader();
    if (leader == null) {
      return;
    }
    switch (change) {
      case CRASH -> cluster.crash(leader, 3_000);
      case QUICK_RESTART -> cluster.crash(leader, 50);
      case FROZEN -> cluster.processes.get(leader).pause(7_000);
      case STATE_REFUSED -> cluster.state.refuseCaller(leader, 8_000);
      case WORKERS_ONLY -> cluster.isolateFromPeersAndState(leader, 8_000);
      case UNREACHABLE -> {
        cluster.world.cut(leader, "n-", 15_000);
        otherControllers(cluster, leader).forEach(m -> cluster.world.cut(leader, m, 15_000));
      }
      default -> throw new IllegalStateException();
    }
  }

  /** Cuts a machine from the controllers, if its name is one of every other. */
  static void cutIfHashIsEven(SimulatedCluster cluster, WorkerEmulator worker, long forMs) {
    if (worker.name().hashCode() % 2 == 0) {
      cluster.world.cut(worker.name(), "nodo", forMs);
    }
  }

  static List<String> otherControllers(SimulatedCluster cluster, String member) {
    return cluster.controllers.keySet().stream().filter(m -> !m.equals(member)).toList();
  }

  /** Calls back with the member at each claim, the moment the state service has applied it. */
  static void onClaim(SimulatedCluster cluster, Consumer<String> task) {
    cluster.state.onWrite.add(
        key -> {
          if (key.equals("live/lead")) {
            task.accept(cluster.state.caller());
          }
        });
  }

  /** Ends whoever leads again and again, each time in the next way. */
  static void endLeadersRepeatedly(
      SimulatedCluster cluster, Change[] ways, long everyMs, long untilMs) {
    int[] next = new int[1];
    Runnable[] again = new Runnable[1];
    again[0] =
        () -> {
          if (cluster.world.now() < untilMs) {
            endLeader(cluster, ways[next[0]++ % ways.length]);
            cluster.world.after(everyMs, again[0]);
          }
        };
    cluster.world.after(1_000, again[0]);
  }

  /**
   * Plays each meeting with each seed from {@code sim.from} to {@code sim.to}; gives what failed.
   */
  static List<String> failuresOf(Map<String, LongConsumer> meetings) {
    return LongStream.rangeClosed(Long.getLong("sim.from"), Long.getLong("sim.to"))
        .boxed()
        .flatMap(seed -> meetings.keySet().stream().map(name -> Map.entry(seed, name)))
        .parallel()
        .map(
            at -> {
              try {
                meetings.get(at.getValue()).accept(at.getKey());
                return "";
              } catch (AssertionError | RuntimeException e) {
                return at.getValue() + " seed " + at.getKey() + ": " + e;
              }
            })
        .filter(text -> !text.isEmpty())
        .toList();
  }

  /** The epoch that was claimed last. */
  static long lastClaimedEpoch(SimulatedCluster cluster) {
    try {
      return cluster.state.claimedEpoch();
    } catch (WireException e) {
      throw new AssertionError(e);
    }
  }

  /** The machines that carry tasks. */
  static List<WorkerEmulator> machinesWithTasks(SimulatedCluster cluster) {
    return cluster.cloud.machines().values().stream()
        .filter(
            worker ->
                cluster.checker.tasksOnMachines().stream()
                    .anyMatch(p -> p.endsWith("@" + worker.name())))
        .toList();
  }

  /** A report as its machine would send it now, to be delivered at some later time. */
  static byte[] reportOf(WorkerEmulator machine) {
    return Codec.CBOR.encode(machine.nextReport().write());
  }

  /** Hands reports to every controller that is there. */
  static void deliverToAllControllers(SimulatedCluster cluster, Collection<byte[]> reports) {
    for (String address : cluster.controllers().values()) {
      for (byte[] body : reports) {
        cluster.world.deliver("n-late", address, new Call("POST", "/agent/beat", body, Codec.CBOR));
      }
    }
  }

  /** A job of batch tasks that any machine takes. */
  static JobSpec batchJob(SimulatedCluster cluster, int tasks, double estimateS) {
    JobSpec any = cluster.plainJob(false, tasks);
    return JobSpec.builder(any.id())
        .jobClass(any.jobClass())
        .team(any.team())
        .priority(any.priority())
        .tasks(tasks)
        .cpus(1)
        .memGb(2)
        .image(any.image())
        .imageGb(1)
        .spotAllowed(true)
        .estimateS(estimateS)
        .build();
  }

  /** Jobs of some tasks, one every so often, of which every third is cancelled a little later. */
  static List<JobSpec> submitAndCancelJobs(SimulatedCluster cluster, int count, long everyMs) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      JobSpec job = batchJob(cluster, 1 + i % 4, 2 + i % 11);
      jobs.add(job);
      cluster.world.after(i * everyMs, () -> cluster.submit(job));
      if (i % 3 == 0) {
        cluster.world.after(i * everyMs + 300 + i % 7 * 400L, () -> cluster.cancel(job.id()));
      }
    }
    return jobs;
  }

  /** Nothing fails any more: every service is whole, every job over, every question answered. */
  static void assertSettles(SimulatedCluster cluster, List<JobSpec> services, List<JobSpec> jobs) {
    cluster.world.runUntil(cluster.world.now() + 60_000);
    cluster.checker.recordEndOfFaults();
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertTrue(cluster.allRun(services), "services are whole");
    assertEquals(
        List.of(),
        jobs.stream().map(JobSpec::id).filter(id -> !cluster.checker.isOver(id)).toList());
    cluster.checker.checkServed(30_000);
  }

  /** Every one of these was told to be cancelled, and nothing of it is on a machine any more. */
  static void assertCancelled(SimulatedCluster cluster, List<JobSpec> jobs) {
    for (JobSpec job : jobs) {
      assertTrue(cluster.checker.cancelledAt(job.id()) >= 0, job.id() + ": its user was not told");
      assertEquals(0, cluster.checker.running(job.id()), job.id() + " runs on");
    }
  }
}
