package fennelthread.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.fleet.ZoneWatch;
import fennelthread.jobs.RoundRecord;
import fennelthread.net.Answer;
import fennelthread.net.Wake;
import fennelthread.wire.Beat;
import fennelthread.wire.Codec;
import fennelthread.wire.JobSpec;
import fennelthread.wire.Order;
import fennelthread.wire.Priority;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A start that rides on the answer to a report, step by step. */
class CarriedStartsTest {
  private final World world = new World(1);
  private final World.Process host = world.new Process("nodo");
  private final List<Attempt> ended = new ArrayList<>();
  private boolean mayStart = true;
  private final Fleet fleet =
      new Fleet(
          host,
          Cluster.large(1, 20).settings,
          1,
          new Fleet.Listener() {
            @Override
            public void ended(Machine machine, Attempt attempt) {
              ended.add(attempt);
            }

            @Override
            public void higherToken(long epoch) {}

            @Override
            public void adopted(Attempt attempt) {}

            @Override
            public void changed() {}

            @Override
            public RoundRecord.Start describe(Machine machine, Beat.Task task) {
              return new RoundRecord.Start(task.ref(), task.attempt(), "n-1", 1, "roja", 1, 0, 1);
            }

            @Override
            public List<Order> ordersFor(Machine machine) {
              return List.of();
            }

            @Override
            public boolean mayStart(Attempt attempt) {
              return mayStart;
            }
          },
          () -> Long.MAX_VALUE,
          Map::of,
          (machine, address, call, timeoutMs, done, unsent) -> unsent.over(false),
          ZoneWatch.NONE,
          new Wake(host),
          new Fleet.Gate() {
            @Override
            public boolean isOpen() {
              return true;
            }

            @Override
            public Answer answer(Beat beat, long token, List<Order> orders) {
              return Answer.of(200, Codec.CBOR, Order.write(token, 0, orders));
            }
          });

  private long seq;

  private List<Order> report(long token, Beat.Task... tasks) throws WireException {
    Beat beat =
        new Beat(
            "n-1",
            "10.1.0.1:9000",
            "mesa",
            "norte",
            false,
            1,
            ++seq,
            token,
            Beat.NO_NOTICE,
            List.of(tasks));
    return Order.read(fleet.beat(beat, "nodo").fields());
  }

  private Attempt start() throws WireException {
    report(1L << 20);
    JobSpec spec =
        new JobSpec(
            "job-1",
            "lote",
            "roja",
            false,
            Priority.STANDARD,
            1,
            1,
            0,
            1,
            "img",
            1,
            null,
            null,
            false,
            false,
            true,
            1,
            0,
            0,
            JobSpec.NO_DEADLINE);
    Attempt a = fleet.create(fleet.get("n-1"), spec, 0);
    fleet.sendStarts(fleet.get("n-1"), new ArrayList<>(List.of(a)));
    assertEquals(Attempt.Phase.CARRIED, a.phase());
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
    assertEquals(Attempt.Phase.UNSURE, a.phase());
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
        new Beat.Task(a.start().task(), a.start().attempt(), Beat.Phase.RUNNING, null, false));
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
    assertEquals(Attempt.Phase.CARRIED, a.phase());
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
