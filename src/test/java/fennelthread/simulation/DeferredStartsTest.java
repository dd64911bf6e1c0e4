package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.FleetListener;
import fennelthread.fleet.HeartbeatResponder;
import fennelthread.fleet.Machine;
import fennelthread.fleet.WorkerLink;
import fennelthread.fleet.ZoneHealth;
import fennelthread.jobs.StartRecord;
import fennelthread.net.Answer;
import fennelthread.net.StallDetector;
import fennelthread.wire.Codec;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A start that rides on the answer to a report, step by step. */
class DeferredStartsTest {
  private final SimulatedNetwork world = new SimulatedNetwork(1);
  private final SimulatedProcess eventLoop = new SimulatedProcess(world, "nodo");
  private final List<Attempt> ended = new ArrayList<>();
  private boolean mayStart = true;
  private final Fleet fleet =
      new Fleet(
          eventLoop,
          SimulatedCluster.large(1, 20).settings,
          1,
          new FleetListener() {
            @Override
            public void onAttemptEnded(Machine machine, Attempt attempt) {
              ended.add(attempt);
            }

            @Override
            public void onHigherEpochObserved(long epoch) {}

            @Override
            public void onAttemptDiscovered(Attempt attempt) {}

            @Override
            public void onFleetChanged() {}

            @Override
            public StartRecord.Start startOfDiscoveredTask(
                Machine machine, WorkerReport.Task task) {
              return new StartRecord.Start(task.ref(), task.attempt(), "n-1", 1, "roja", 1, 0, 1);
            }

            @Override
            public List<WorkerCommand> commandsFor(Machine machine) {
              return List.of();
            }

            @Override
            public boolean mayStart(Attempt attempt) {
              return mayStart;
            }
          },
          () -> Long.MAX_VALUE,
          Map::of,
          ZoneHealth.ALWAYS_HEALTHY,
          new WorkerLink(
              (machine, address, call, timeoutMs, done, unsent) -> unsent.over(false),
              new HeartbeatResponder() {
                @Override
                public boolean mayRespond() {
                  return true;
                }

                @Override
                public Answer respond(WorkerReport report, long token, List<WorkerCommand> orders) {
                  return Answer.of(200, Codec.CBOR, WorkerCommand.write(token, 0, orders));
                }
              },
              new StallDetector(eventLoop)));

  private long seq;

  private List<WorkerCommand> report(long token, WorkerReport.Task... tasks) throws WireException {
    WorkerReport report =
        new WorkerReport(
            "n-1",
            "10.1.0.1:9000",
            "mesa",
            "norte",
            false,
            1,
            ++seq,
            token,
            WorkerReport.NO_NOTICE,
            List.of(tasks));
    return WorkerCommand.read(fleet.handleReport(report, "nodo").fields());
  }

  private Attempt start() throws WireException {
    report(1L << 20);
    JobSpec spec =
        JobSpec.builder("job-1")
            .jobClass("lote")
            .team("roja")
            .tasks(1)
            .cpus(1)
            .memGb(1)
            .image("img")
            .imageGb(1)
            .spotAllowed(true)
            .estimateS(1)
            .build();
    Attempt a = fleet.createAttempt(fleet.findMachine("n-1"), spec, 0);
    fleet.sendStarts(fleet.findMachine("n-1"), new ArrayList<>(List.of(a)));
    assertEquals(Attempt.Phase.DEFERRED, a.phase());
    return a;
  }

  /**
   * The answer held it, the next report does not show it: only a report under a higher token tells.
   */
  @Test
  void aLostAnswerIsDoubted() throws WireException {
    Attempt a = start();
    assertEquals(1, report(1L << 20).size());
    assertEquals(Attempt.Phase.SENT, a.phase());
    assertTrue(report(1L << 20).isEmpty(), "sent twice");
    assertEquals(Attempt.Phase.UNCONFIRMED, a.phase());
    assertTrue(ended.isEmpty());
    report(1L << 20);
    assertTrue(ended.isEmpty(), "taken for gone under the old token");
    report((1L << 20) + 1);
    assertEquals(List.of(a), ended);
  }

  @Test
  void aShownStartIsThere() throws WireException {
    Attempt a = start();
    report(1L << 20);
    report(
        1L << 20,
        new WorkerReport.Task(
            a.start().task(), a.start().attempt(), WorkerReport.Phase.RUNNING, null, false));
    assertEquals(Attempt.Phase.RUNNING, a.phase());
  }

  /** The paper's check stands before this way of starting too. */
  @Test
  void nothingIsCarriedOutsideTheLease() throws WireException {
    Attempt a = start();
    mayStart = false;
    assertTrue(report(1L << 20).isEmpty());
    assertEquals(List.of(a), ended);
  }

  /** A report that is older than what we know may be answered late, and its answer dropped. */
  @Test
  void anOldReportBringsNoStart() throws WireException {
    Attempt a = start();
    seq = 0;
    assertTrue(report(1L << 20).isEmpty());
    assertEquals(Attempt.Phase.DEFERRED, a.phase());
  }

  /** A worker that does not report: the task is tried elsewhere. */
  @Test
  void whatIsNotFetchedIsDropped() throws WireException {
    Attempt a = start();
    world.runUntil(5_000);
    fleet.tick();
    assertEquals(List.of(a), ended);
  }
}
