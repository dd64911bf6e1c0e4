package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A leader with more workers than it can have connections: its starts ride on the answers to
 * reports, which nobody confirms but the next report.
 */
class FewSocketsTest {

  /** No connection to any worker is to be had: all starts, and late by a report at the most. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 5, 7, 9})
  void startsRideOnReports(long seed) {
    SimulatedCluster c = SimulatedCluster.large(seed, 200);
    // A lost report would cost its machine's starts another one, by chance.
    c.world.loss = 0;
    c.world.late = 0;
    c.world.runUntil(15_000);
    c.world.unavailableSocketShare = 1;
    List<JobSpec> services = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      // Any machine will do: a type that a zone lacks would have to be rented first.
      JobSpec job = c.plainJob(true, 5);
      services.add(job);
      c.submit(job);
    }
    c.world.runUntil(18_000);
    int running = 0;
    for (JobSpec job : services) {
      running += c.checker.running(job.id());
    }
    assertEquals(200, running);
  }

  /**
   * Half of the connections fail, answers get lost or come too late, and leaders crash: no start is
   * taken for one that never happened, and none for one that did.
   */
  @ParameterizedTest
  @ValueSource(longs = {2, 3, 4, 5})
  void lostAnswersWithStartsAreDoubted(long seed) {
    SimulatedCluster c = new SimulatedCluster(seed);
    c.world.unavailableSocketShare = 0.5;
    c.world.loss = 0.05;
    c.world.late = 0.02;
    c.addRandomUsersAndFaults(150_000);
    c.world.runUntil(200_000);
    assertTrue(c.checker.starts > 100, c.checker.starts + " starts");
  }
}
