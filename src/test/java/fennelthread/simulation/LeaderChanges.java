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

/**
 * Ways in which tests end a leader, load around the changes, and checks of what must hold
 * afterwards.
 */
final class LeaderChanges {
  private LeaderChanges() {}

  /** The ways in which a leader ends. */
  enum Change {
    /** The process crashes and is back after 3 s. */
    CRASH,
    /** The process crashes and is back after 50 ms. */
    QUICK_RESTART,
    /** The process is paused for 7 s and resumes with its state. */
    FROZEN,
    /** The state service refuses it alone: it resigns, and a peer ends its grant. */
    STATE_REFUSED,
    /** It loses the state service and the other controllers, but not its workers and users. */
    WORKERS_ONLY,
    /** Neither workers nor controllers reach it, but it reaches the state service: it resigns. */
    UNREACHABLE
  }

  /** Ends the current leader in the given way; does nothing if there is none. */
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

  /**
   * Cuts a machine off from the controllers if the hash of its name is even: about half of the
   * machines.
   */
  static void cutIfHashIsEven(SimulatedCluster cluster, WorkerEmulator worker, long forMs) {
    if (worker.name().hashCode() % 2 == 0) {
      cluster.world.cut(worker.name(), "nodo", forMs);
    }
  }

  static List<String> otherControllers(SimulatedCluster cluster, String member) {
    return cluster.controllers.keySet().stream().filter(m -> !m.equals(member)).toList();
  }

  /**
   * Calls {@code onClaimed} with the controller's name at each claim, when the state service has
   * applied it.
   */
  static void onClaim(SimulatedCluster cluster, Consumer<String> onClaimed) {
    cluster.state.onWrite.add(
        key -> {
          if (key.equals("live/lead")) {
            onClaimed.accept(cluster.state.caller());
          }
        });
  }

  /**
   * Ends the current leader every {@code everyMs} until {@code untilMs}, taking the given ways in
   * turn.
   */
  static void endLeadersRepeatedly(
      SimulatedCluster cluster, Change[] ways, long everyMs, long untilMs) {
    int[] nextWay = new int[1];
    Runnable[] repeat = new Runnable[1];
    repeat[0] =
        () -> {
          if (cluster.world.now() < untilMs) {
            endLeader(cluster, ways[nextWay[0]++ % ways.length]);
            cluster.world.after(everyMs, repeat[0]);
          }
        };
    cluster.world.after(1_000, repeat[0]);
  }

  /**
   * Runs each case with each seed from {@code sim.from} to {@code sim.to}; returns a line for each
   * that failed.
   */
  static List<String> failuresOf(Map<String, LongConsumer> cases) {
    return LongStream.rangeClosed(Long.getLong("sim.from"), Long.getLong("sim.to"))
        .boxed()
        .flatMap(seed -> cases.keySet().stream().map(name -> Map.entry(seed, name)))
        .parallel()
        .map(
            seedAndName -> {
              try {
                cases.get(seedAndName.getValue()).accept(seedAndName.getKey());
                return "";
              } catch (AssertionError | RuntimeException e) {
                return seedAndName.getValue() + " seed " + seedAndName.getKey() + ": " + e;
              }
            })
        .filter(text -> !text.isEmpty())
        .toList();
  }

  /** Returns the epoch of the last claim. */
  static long lastClaimedEpoch(SimulatedCluster cluster) {
    try {
      return cluster.state.claimedEpoch();
    } catch (WireException e) {
      throw new AssertionError(e);
    }
  }

  /** Returns the machines that have tasks. */
  static List<WorkerEmulator> machinesWithTasks(SimulatedCluster cluster) {
    return cluster.cloud.machines().values().stream()
        .filter(
            worker ->
                cluster.checker.tasksOnMachines().stream()
                    .anyMatch(p -> p.endsWith("@" + worker.name())))
        .toList();
  }

  /** Returns the report that the machine would send now, encoded, to be delivered later. */
  static byte[] reportOf(WorkerEmulator machine) {
    return Codec.CBOR.encode(machine.nextReport().write());
  }

  /** Delivers the reports to every running controller; their answers go nowhere. */
  static void deliverToAllControllers(SimulatedCluster cluster, Collection<byte[]> reports) {
    for (String address : cluster.controllers().values()) {
      for (byte[] body : reports) {
        cluster.world.deliver("n-late", address, new Call("POST", "/agent/beat", body, Codec.CBOR));
      }
    }
  }

  /** Returns a batch job whose tasks run on any machine. */
  static JobSpec batchJob(SimulatedCluster cluster, int tasks, double estimateS) {
    JobSpec template = cluster.plainJob(false, tasks);
    return JobSpec.builder(template.id())
        .jobClass(template.jobClass())
        .team(template.team())
        .priority(template.priority())
        .tasks(tasks)
        .cpus(1)
        .memGb(2)
        .image(template.image())
        .imageGb(1)
        .spotAllowed(true)
        .estimateS(estimateS)
        .build();
  }

  /** Submits a batch job every {@code everyMs} and cancels every third of them a little later. */
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

  /**
   * Runs for a minute, ends all faults and runs for another: by then every service must have all
   * its replicas, every job must be over and every request answered.
   */
  static void assertSettles(SimulatedCluster cluster, List<JobSpec> services, List<JobSpec> jobs) {
    cluster.world.runUntil(cluster.world.now() + 60_000);
    cluster.checker.recordEndOfFaults();
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertTrue(cluster.allRun(services), "a service lacks replicas");
    assertEquals(
        List.of(),
        jobs.stream().map(JobSpec::id).filter(id -> !cluster.checker.isOver(id)).toList());
    cluster.checker.checkServed(30_000);
  }

  /**
   * Asserts that users were told of each cancellation and that no task of these jobs runs any more.
   */
  static void assertCancelled(SimulatedCluster cluster, List<JobSpec> jobs) {
    for (JobSpec job : jobs) {
      assertTrue(
          cluster.checker.cancelledAt(job.id()) >= 0,
          job.id() + ": its user was not told of the cancellation");
      assertEquals(0, cluster.checker.running(job.id()), job.id() + " still has tasks");
    }
  }
}
