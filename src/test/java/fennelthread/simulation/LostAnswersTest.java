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
 * The leader's writes are applied and only their answers are lost, for each kind of write in the
 * table of docs/lost-answers.md. Users' writes are covered by {@link UserMeetingsTest}.
 */
class LostAnswersTest {
  private static SimulatedCluster settled(long seed) {
    return Scenes.settled(seed, Deployment.tiny(), 0);
  }

  /** Kinds of the leader's writes, told apart by the keys in the body. */
  private enum LeaderWrite {
    START_RECORD("live/round/", "equipo-none"),
    FINISHED_PART("live/finished/", "final/"),
    COMPLETION("final/", "withdrawn"),
    CLAIM("live/lead", "equipo-none"),
    UNILATERAL_DECLARATION("live/solo", "live/lead"),
    CLEAN_UP("remove", "write");

    private final String includedText;
    private final String excludedText;

    LeaderWrite(String includedText, String excludedText) {
      this.includedText = includedText;
      this.excludedText = excludedText;
    }

    boolean matches(String body) {
      return body.contains("live/epoch")
          && body.contains(includedText)
          && !body.contains(excludedText);
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

  /**
   * Three writes of one kind in a row are applied and their answers lost: every service keeps its
   * replicas and every job comes to its end.
   */
  @ParameterizedTest
  @MethodSource("leaderWrites")
  void jobsEndWhenAnswersToTheLeadersWritesAreLost(LeaderWrite write, long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 2, 100, 15_000);
    cluster.beginRepeatedQueries(60_000);
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
          } else if (write == LeaderWrite.UNILATERAL_DECLARATION) {
            cluster.cutPeerLinks(15_000);
          }
        });
    cluster.world.runUntil(cluster.world.now() + 40_000);
    assertEquals(3, cluster.state.answersLost, "answers lost");
    cluster.world.runUntil(cluster.world.now() + 30_000);
    cluster.checker.recordEndOfFaults();
    cluster.world.runUntil(cluster.world.now() + 30_000);
    assertTrue(cluster.allRun(services), "a service lacks replicas");
    assertTrue(jobs.stream().allMatch(j -> cluster.checker.isOver(j.id())), "some job is not over");
  }

  /**
   * The answers to a leader's declaration of unilateral leadership are lost until its peers promise
   * again. The declaration is withdrawn all the same; no peer can take over while it stands.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aDeclarationWhoseAnswersAreLostIsWithdrawn(long seed) throws WireException {
    SimulatedCluster cluster = settled(seed);
    long lostUntilMs = cluster.world.now() + 6_000;
    cluster.state.loseNextAnswers(
        (caller, body) ->
            LeaderWrite.UNILATERAL_DECLARATION.matches(body) && cluster.world.now() < lostUntilMs,
        100);
    cluster.cutPeerLinks(3_000);
    cluster.world.runUntil(cluster.world.now() + 6_000);
    assertTrue(cluster.state.answersLost > 0, "no answer was lost");
    assertEquals(
        cluster.state.claimedEpoch(),
        cluster.state.valuesUnder("live/solo").get(0).count("epoch"),
        "the declaration is not recorded");
    cluster.world.runUntil(cluster.world.now() + 10_000);
    assertEquals(
        0,
        cluster.state.valuesUnder("live/solo").get(0).count("epoch"),
        "the declaration is not withdrawn");
  }

  /**
   * Jobs are cancelled because one that they depend on is; the answers to those writes are lost.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void dependentJobsAreCancelledWhenTheAnswersAreLost(long seed) {
    SimulatedCluster cluster = settled(seed);
    cluster.beginRepeatedQueries(60_000);
    List<JobSpec> dependents = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      JobSpec job = Scenes.lasting(cluster, 1, 120);
      JobSpec dependent = Scenes.lasting(cluster, 2, 2).withDependencies(List.of(job.id()));
      dependents.add(dependent);
      cluster.submit(job);
      cluster.world.after(1_000, () -> cluster.submit(dependent));
      cluster.world.after(5_000 + i * 3_000, () -> cluster.cancel(job.id()));
    }
    cluster.state.loseNextAnswers(
        (caller, body) -> dependents.stream().anyMatch(j -> body.contains("final/" + j.id())), 3);
    cluster.world.runUntil(cluster.world.now() + 25_000);
    assertEquals(3, cluster.state.answersLost, "answers lost");
    cluster.checker.recordEndOfFaults();
    cluster.world.runUntil(cluster.world.now() + 20_000);
    for (JobSpec job : dependents) {
      assertTrue(cluster.checker.cancelledAt(job.id()) >= 0, job.id() + " is not cancelled");
      assertEquals(0, cluster.state.countKeys("live/job/" + job.id()));
    }
    assertEquals(6, cluster.state.countKeys("final/"));
  }
}
