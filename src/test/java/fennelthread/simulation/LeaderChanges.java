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
    BACK_AT_ONCE,
    /** Its process stands still and goes on as if nothing had happened. */
    FROZEN,
    /** The state service refuses it alone: it resigns and has its grant ended by a peer. */
    REFUSED,
    /** It loses the state service and the other controllers, not its workers and users. */
    ALONE,
    /** No worker and no controller reaches it, the state service does: it resigns. */
    UNHEARD
  }

  /** Ends whoever leads in this way; does nothing while nobody leads. */
  static void end(SimulatedCluster c, Change change) {
    String leader = c.leader();
    if (leader == null) {
      return;
    }
    switch (change) {
      case CRASH -> c.crash(leader, 3_000);
      case BACK_AT_ONCE -> c.crash(leader, 50);
      case FROZEN -> c.processes.get(leader).pause(7_000);
      case REFUSED -> c.state.refuse(leader, 8_000);
      case ALONE -> c.leaveAlone(leader, 8_000);
      case UNHEARD -> {
        c.world.cut(leader, "n-", 15_000);
        others(c, leader).forEach(m -> c.world.cut(leader, m, 15_000));
      }
      default -> throw new IllegalStateException();
    }
  }

  /** Cuts a machine from the controllers, if its name is one of every other. */
  static void cutEveryOther(SimulatedCluster c, WorkerEmulator w, long forMs) {
    if (w.name().hashCode() % 2 == 0) {
      c.world.cut(w.name(), "nodo", forMs);
    }
  }

  static List<String> others(SimulatedCluster c, String member) {
    return c.controllers.keySet().stream().filter(m -> !m.equals(member)).toList();
  }

  /** Calls back with the member at each claim, the moment the state service has applied it. */
  static void onClaim(SimulatedCluster c, Consumer<String> task) {
    c.state.onWrite.add(
        key -> {
          if (key.equals("live/lead")) {
            task.accept(c.state.caller());
          }
        });
  }

  /** Ends whoever leads again and again, each time in the next way. */
  static void endEach(SimulatedCluster c, Change[] ways, long everyMs, long untilMs) {
    int[] next = new int[1];
    Runnable[] again = new Runnable[1];
    again[0] =
        () -> {
          if (c.world.now() < untilMs) {
            end(c, ways[next[0]++ % ways.length]);
            c.world.after(everyMs, again[0]);
          }
        };
    c.world.after(1_000, again[0]);
  }

  /**
   * Plays each meeting with each seed from {@code sim.from} to {@code sim.to}; gives what failed.
   */
  static List<String> broken(Map<String, LongConsumer> meetings) {
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
  static long epoch(SimulatedCluster c) {
    try {
      return c.state.epoch();
    } catch (WireException e) {
      throw new AssertionError(e);
    }
  }

  /** The machines that carry tasks. */
  static List<WorkerEmulator> carrying(SimulatedCluster c) {
    return c.cloud.machines().values().stream()
        .filter(w -> c.rules.present().stream().anyMatch(p -> p.endsWith("@" + w.name())))
        .toList();
  }

  /** A report as its machine would send it now, to be delivered at some later time. */
  static byte[] reportOf(WorkerEmulator machine) {
    return Codec.CBOR.encode(machine.peek().write());
  }

  /** Hands reports to every controller that is there. */
  static void handToAll(SimulatedCluster c, Collection<byte[]> reports) {
    for (String address : c.controllers().values()) {
      for (byte[] body : reports) {
        c.world.deliver("n-late", address, new Call("POST", "/agent/beat", body, Codec.CBOR));
      }
    }
  }

  /** A job of batch tasks that any machine takes. */
  static JobSpec batch(SimulatedCluster c, int tasks, double estimateS) {
    JobSpec any = c.plain(false, tasks);
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
  static List<JobSpec> busy(SimulatedCluster c, int count, long everyMs) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      JobSpec job = batch(c, 1 + i % 4, 2 + i % 11);
      jobs.add(job);
      c.world.after(i * everyMs, () -> c.submit(job));
      if (i % 3 == 0) {
        c.world.after(i * everyMs + 300 + i % 7 * 400L, () -> c.cancel(job.id()));
      }
    }
    return jobs;
  }

  /** Nothing fails any more: every service is whole, every job over, every question answered. */
  static void settle(SimulatedCluster c, List<JobSpec> services, List<JobSpec> jobs) {
    c.world.runUntil(c.world.now() + 60_000);
    c.rules.troublesAreOver();
    c.world.runUntil(c.world.now() + 60_000);
    assertTrue(c.allRun(services), "services are whole");
    assertEquals(
        List.of(), jobs.stream().map(JobSpec::id).filter(id -> !c.rules.isOver(id)).toList());
    c.rules.checkServed(30_000);
  }

  /** Every one of these was told to be cancelled, and nothing of it is on a machine any more. */
  static void assertCancelled(SimulatedCluster c, List<JobSpec> jobs) {
    for (JobSpec job : jobs) {
      assertTrue(c.rules.cancelledAt(job.id()) >= 0, job.id() + ": its user was not told");
      assertEquals(0, c.rules.running(job.id()), job.id() + " runs on");
    }
  }
}
