package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.jobs.StartRecord;
import fennelthread.state.Keys;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Round records of long days: their number and size follow what lives, and whatever is on a machine
 * has a record at every moment, though records are written over, drawn together and removed by
 * transactions that may be applied long after they were given up.
 */
class RecordsAtScaleTest {
  private static final String ROUNDS = "live/round/";

  /**
   * Services that live on and arrays that come and go, for thousands of rounds. Records once stayed
   * as long as one of their starts lived, and removals waited behind everything else: 4,098 keys
   * filled the heaps of five controllers after seven minutes.
   */
  @Test
  void recordsFollowWhatLives() {
    SimulatedCluster c = fleet(1);
    c.world.loss = 0;
    c.world.late = 0;
    int most = 0;
    int mostStarts = 0;
    load(c, 400_000, 220, 4);
    c.state.transactionDelayMs =
        (caller, body) -> {
          assertConditional(c, body);
          return 0;
        };
    for (long t = 20_000; t <= 400_000; t += 1_000) {
      c.world.runUntil(t);
      assertAllRecorded(c);
      most = Math.max(most, c.state.countKeys(ROUNDS));
      mostStarts = Math.max(mostStarts, starts(c));
    }
    System.out.printf(
        "records: at most %d with %d starts, %d rounds, %d starts in all, %d live at the end%n",
        most, mostStarts, rounds, c.checker.starts, c.checker.running());
    assertTrue(c.checker.starts > 9_000, c.checker.starts + " starts");
    assertTrue(most < 200, most + " records");
  }

  /**
   * Many of the transactions that touch records arrive seconds after they were given up, work comes
   * in waves, and the leader crashes twice: no record of anything that is on a machine is ever
   * lost.
   */
  @ParameterizedTest
  @ValueSource(longs = {2, 3, 4, 5})
  void lateTransactionsLoseNoRecord(long seed) {
    SimulatedCluster c = fleet(seed);
    load(c, 90_000, 120, 2);
    c.state.transactionDelayMs =
        (caller, body) -> {
          assertConditional(c, body);
          return body.contains(ROUNDS)
                  && c.world.random.nextInt(body.contains("remove") ? 2 : 5) == 0
              ? 1_200 + c.world.random.nextInt(15_000)
              : 0;
        };
    c.world.at(40_000, () -> c.crash(c.leader(), 3_000));
    c.world.at(65_000, () -> c.crash(c.leader(), 3_000));
    for (long t = 16_000; t <= 100_000; t += 50) {
      c.world.runUntil(t);
      assertAllRecorded(c);
    }
    assertTrue(c.checker.starts > 300, c.checker.starts + " starts");
  }

  private int rounds;

  private void load(SimulatedCluster c, long untilMs, long everyMs, int oneServiceIn) {
    c.state.onWrite.add(key -> rounds += key.startsWith(ROUNDS) ? 1 : 0);
    for (long t = 1_000; t < untilMs; t += everyMs) {
      if (t % 50_000 > 35_000) {
        continue;
      }
      c.world.at(
          t,
          () -> {
            boolean service = c.world.random.nextInt(oneServiceIn) == 0;
            JobSpec job = c.job(service, service ? 1 : 10, 1, !service, false, false);
            c.submit(job);
            if (service && c.world.random.nextInt(8) == 0) {
              c.world.after(60_000, () -> c.cancel(job.id()));
            }
          });
    }
  }

  private static SimulatedCluster fleet(long seed) {
    return SimulatedCluster.large(seed, 120);
  }

  private static int starts(SimulatedCluster c) {
    try {
      int starts = 0;
      for (Fields value : c.state.valuesUnder(ROUNDS)) {
        starts += StartRecord.decode(value).starts().size();
      }
      return starts;
    } catch (WireException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Whatever changes a record of the latest epoch says which one it means: it may come too late.
   */
  private static void assertConditional(SimulatedCluster c, String sent) {
    if (c.state.countKeys(Keys.EPOCH) == 0) {
      return;
    }
    try {
      Fields body = Codec.CBOR.decode(sent.getBytes(StandardCharsets.ISO_8859_1));
      Set<String> meant = new HashSet<>();
      for (Fields f : body.maps("when")) {
        meant.add(f.text("key"));
      }
      for (Fields f : body.maps("then")) {
        String key = f.has("write") ? f.text("write") : f.text("remove");
        boolean ours = key.startsWith(Keys.startRecordPrefix(c.state.claimedEpoch()));
        assertTrue(
            !ours || meant.contains(key) || c.state.countKeys(key) == 0, "unconditional: " + key);
      }
    } catch (WireException e) {
      throw new AssertionError(e);
    }
  }

  private static void assertAllRecorded(SimulatedCluster c) {
    try {
      Set<String> recorded = new HashSet<>();
      for (Fields value : c.state.valuesUnder(ROUNDS)) {
        for (StartRecord.Start s : StartRecord.decode(value).starts()) {
          recorded.add(s.task() + "@" + s.machine());
        }
      }
      Set<String> present = c.checker.tasksOnMachines();
      present.removeAll(recorded);
      assertTrue(present.isEmpty(), "t=" + c.world.now() + " without a record: " + present);
    } catch (WireException e) {
      throw new AssertionError(e);
    }
  }
}
