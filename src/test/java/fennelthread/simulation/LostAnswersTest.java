package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The leader's writes are carried out at once and only their answers are lost, each kind by itself:
 * the table in docs/lost-answers.md. Users' writes have {@link UserMeetingsTest}.
 */
class LostAnswersTest {
  private static SimulatedCluster settled(long seed) {
    return Scenes.settled(seed, Deployment.tiny(), 0);
  }

  /** Writes of the leader, and what brings them about. */
  private enum LeaderWrite {
    START_RECORD("live/round/", "equipo-none"),
    FINISHED_PART("live/finished/", "final/"),
    COMPLETION("final/", "withdrawn"),
    CLAIM("live/lead", "equipo-none"),
    UNILATERAL("live/solo", "live/lead"),
    CLEAN_UP("remove", "write");

    private final String names;
    private final String lacks;

    LeaderWrite(String names, String lacks) {
      this.names = names;
      this.lacks = lacks;
    }

    boolean matches(String body) {
      return body.contains("live/epoch") && body.contains(names) && !body.contains(lacks);
    }
  }

  static Stream<Arguments> leaderWrites() {
    List<Arguments> cases = new ArrayList<>();
    for (LeaderWrite write : LeaderWrite.values()) {
      for (long seed = 1; seed <= 3; seed++) {
        cases.add(Arguments.of(write, seed));
      }
    }
    return cases.stream();
  }

  /** The leader's writes of one kind are applied and their answers lost, three in a row. */
  @ParameterizedTest
  @MethodSource("leaderWrites")
  void answersToOneKindOfTheLeadersWritesAreLost(LeaderWrite write, long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 2, 100, 15_000);
    cluster.repeatedQueries(60_000);
    cluster.state.loseNextAnswers((caller, body) -> write.matches(body), 3);
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      JobSpec job = Scenes.lasting(cluster, 1 + i % 4, 1 + i % 5);
      jobs.add(job);
      cluster.world.after(i * 600L, () -> cluster.submit(job));
      if (i % 4 == 0) {
        cluster.world.after(i * 600L + 300 + i % 7 * 300L, () -> cluster.cancel(job.id()));
      }
    }
    cluster.world.after(
        5_000,
        () -> {
          if (write == LeaderWrite.CLAIM) {
            cluster.crash(cluster.leader(), 2_000);
          } else if (write == LeaderWrite.UNILATERAL) {
            cluster.cutPeerLinks(15_000);
          }
        });
    cluster.world.runUntil(cluster.world.now() + 40_000);
    assertEquals(3, cluster.state.answersLost, "answers lost");
    cluster.world.runUntil(cluster.world.now() + 30_000);
    cluster.checker.recordEndOfFaults();
    cluster.world.runUntil(cluster.world.now() + 30_000);
    assertTrue(cluster.allRun(services), "services are whole");
    assertTrue(jobs.stream().allMatch(j -> cluster.checker.isOver(j.id())), "all are over");
  }

  /**
   * The answers to a leader's word that it goes alone are lost until its peers promise again: the
   * word is cancelled all the same. As long as it stands no peer can take over.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aWordWhoseAnswersAreLostIsCancelled(long seed) throws WireException {
    SimulatedCluster cluster = settled(seed);
    long lostUntil = cluster.world.now() + 6_000;
    cluster.state.loseNextAnswers(
        (caller, body) -> LeaderWrite.UNILATERAL.matches(body) && cluster.world.now() < lostUntil,
        100);
    cluster.cutPeerLinks(3_000);
    cluster.world.runUntil(cluster.world.now() + 6_000);
    assertTrue(cluster.state.answersLost > 0, "none was lost");
    assertEquals(
        cluster.state.claimedEpoch(),
        cluster.state.valuesUnder("live/solo").get(0).count("epoch"),
        "it stands");
    cluster.world.runUntil(cluster.world.now() + 10_000);
    assertEquals(
        0, cluster.state.valuesUnder("live/solo").get(0).count("epoch"), "and is withdrawn");
  }

  /** Jobs are cancelled with one that they wait for; the answers to that are lost. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void answersToInheritedCancellationsAreLost(long seed) {
    SimulatedCluster cluster = settled(seed);
    cluster.repeatedQueries(60_000);
    List<JobSpec> waiting = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      JobSpec job = Scenes.lasting(cluster, 1, 120);
      JobSpec next = Scenes.lasting(cluster, 2, 2).withDependencies(List.of(job.id()));
      waiting.add(next);
      cluster.submit(job);
      cluster.world.after(1_000, () -> cluster.submit(next));
      cluster.world.after(5_000 + i * 3_000, () -> cluster.cancel(job.id()));
    }
    cluster.state.loseNextAnswers(
        (caller, body) -> waiting.stream().anyMatch(j -> body.contains("final/" + j.id())), 3);
    cluster.world.runUntil(cluster.world.now() + 25_000);
    assertEquals(3, cluster.state.answersLost, "answers lost");
    cluster.checker.recordEndOfFaults();
    cluster.world.runUntil(cluster.world.now() + 20_000);
    for (JobSpec job : waiting) {
      assertTrue(cluster.checker.cancelledAt(job.id()) >= 0, job.id() + " is cancelled");
      assertEquals(0, cluster.state.countKeys("live/job/" + job.id()));
    }
    assertEquals(6, cluster.state.countKeys("final/"));
  }
}
