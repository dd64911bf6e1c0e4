package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Compares the traffic of seeded runs with the digests that stand in {@code traffic-digests.txt}:
 * the proof that a change of the sources changes nothing of what the service does. On demand, since
 * a change of behaviour on purpose changes them:
 *
 * <pre>
 * mvn -B -ntp test -Dtest=TrafficDigestTest -Dsim.digests=check
 * mvn -B -ntp test -Dtest=TrafficDigestTest -Dsim.digests=record
 * </pre>
 */
class TrafficDigestTest {
  static {
    Production.serve();
  }

  private static final Path RECORDED = Path.of("src/test/resources/traffic-digests.txt");
  private static final Settings.StateLimits LOWER_LIMITS =
      new Settings.StateLimits(400, 80, 2 * 1024, 4);

  @Test
  @EnabledIfSystemProperty(named = "sim.digests", matches = "check")
  void trafficIsAsRecorded() throws IOException {
    assertEquals(Files.readString(RECORDED), digests());
  }

  @Test
  @EnabledIfSystemProperty(named = "sim.digests", matches = "record")
  void recordTraffic() throws IOException {
    Files.writeString(RECORDED, digests());
  }

  private static String digests() {
    Map<String, String> digests = new LinkedHashMap<>();
    for (long seed : new long[] {12, 59, 118}) {
      digests.put(
          "storm " + seed,
          digest(
              new SimulatedCluster(seed),
              c -> {
                c.addRandomUsersAndFaults(300_000);
                SimulationTest.settle(c);
              }));
    }
    for (long seed : new long[] {1, 3}) {
      digests.put(
          "storm of troubles " + seed, digest(new SimulatedCluster(seed), TroubleStormTest::play));
    }
    for (long seed : new long[] {1, 7}) {
      digests.put(
          "chained jobs " + seed,
          digest(
              SimulatedCluster.limited(seed, LOWER_LIMITS, false),
              c -> {
                c.world.at(120_000, () -> c.state.setLimits(LOWER_LIMITS));
                c.submitPipelines(300_000);
                c.addRandomUsersAndFaults(300_000);
                SimulationTest.settle(c);
              }));
    }
    digests.put(
        "upgrade 2",
        digest(
            SimulatedCluster.limited(2, LOWER_LIMITS, true),
            c -> {
              c.addRandomUsersAndFaults(260_000);
              c.world.at(40_000, () -> c.upgrade("nodo-0", 4_000));
              c.world.at(65_000, () -> c.upgrade("nodo-1", 4_000));
              c.world.at(90_000, () -> c.upgrade("nodo-2", 4_000));
              SimulationTest.settle(c);
            }));
    for (long seed : new long[] {101, 102}) {
      digests.put(
          "crash of the leader " + seed,
          digest(
              large(seed),
              c -> {
                c.world.runUntil(35_000);
                c.crash(c.leader(), 30_000);
              }));
      digests.put(
          "freeze of the leader " + seed,
          digest(
              large(seed),
              c -> {
                c.world.runUntil(35_000);
                c.processes.get(c.leader()).pause(25_000);
              }));
    }
    return digests.entrySet().stream()
        .map(entry -> entry.getKey() + ": " + entry.getValue() + "\n")
        .collect(Collectors.joining());
  }

  private static SimulatedCluster large(long seed) {
    SimulatedCluster c = SimulatedCluster.large(seed, 200);
    c.world.loss = 0.001;
    for (int i = 0; i < 30; i++) {
      c.world.at(
          15_000 + i * 1_500L,
          () -> {
            JobSpec job = c.job(false, 5, 1, true, false, false);
            c.submit(job);
          });
    }
    return c;
  }

  private static String digest(SimulatedCluster c, Consumer<SimulatedCluster> play) {
    TrafficDigest traffic = TrafficDigest.observe(c);
    play.accept(c);
    c.world.runUntil(c.world.now() + 45_000);
    return traffic.finish(c);
  }
}
