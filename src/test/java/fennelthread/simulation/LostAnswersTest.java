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
    SimulatedCluster c = settled(seed);
    List<JobSpec> services = Scenes.services(c, 2, 100, 15_000);
    c.closeLooks(60_000);
    c.state.loseAnswerOf((caller, body) -> write.matches(body), 3);
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      JobSpec job = Scenes.lasting(c, 1 + i % 4, 1 + i % 5);
      jobs.add(job);
      c.world.after(i * 600L, () -> c.submit(job));
      if (i % 4 == 0) {
        c.world.after(i * 600L + 300 + i % 7 * 300L, () -> c.cancel(job.id()));
      }
    }
    c.world.after(
        5_000,
        () -> {
          if (write == LeaderWrite.CLAIM) {
            c.crash(c.leader(), 2_000);
          } else if (write == LeaderWrite.UNILATERAL) {
            c.refuseMesh(15_000);
          }
        });
    c.world.runUntil(c.world.now() + 40_000);
    assertEquals(3, c.state.answersLost, "answers lost");
    c.world.runUntil(c.world.now() + 30_000);
    c.rules.troublesAreOver();
    c.world.runUntil(c.world.now() + 30_000);
    assertTrue(c.allRun(services), "services are whole");
    assertTrue(jobs.stream().allMatch(j -> c.rules.isOver(j.id())), "all are over");
  }

  /**
   * The answers to a leader's word that it goes alone are lost until its peers promise again: the
   * word is cancelled all the same. As long as it stands no peer can take over.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aWordWhoseAnswersAreLostIsCancelled(long seed) throws WireException {
    SimulatedCluster c = settled(seed);
    long lostUntil = c.world.now() + 6_000;
    c.state.loseAnswerOf(
        (caller, body) -> LeaderWrite.UNILATERAL.matches(body) && c.world.now() < lostUntil, 100);
    c.refuseMesh(3_000);
    c.world.runUntil(c.world.now() + 6_000);
    assertTrue(c.state.answersLost > 0, "none was lost");
    assertEquals(c.state.epoch(), c.state.values("live/solo").get(0).count("epoch"), "it stands");
    c.world.runUntil(c.world.now() + 10_000);
    assertEquals(0, c.state.values("live/solo").get(0).count("epoch"), "and is withdrawn");
  }

  /** Jobs are cancelled with one that they wait for; the answers to that are lost. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void answersToInheritedCancellationsAreLost(long seed) {
    SimulatedCluster c = settled(seed);
    c.closeLooks(60_000);
    List<JobSpec> waiting = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      JobSpec job = Scenes.lasting(c, 1, 120);
      JobSpec next = Scenes.lasting(c, 2, 2).withDependencies(List.of(job.id()));
      waiting.add(next);
      c.submit(job);
      c.world.after(1_000, () -> c.submit(next));
      c.world.after(5_000 + i * 3_000, () -> c.cancel(job.id()));
    }
    c.state.loseAnswerOf(
        (caller, body) -> waiting.stream().anyMatch(j -> body.contains("final/" + j.id())), 3);
    c.world.runUntil(c.world.now() + 25_000);
    assertEquals(3, c.state.answersLost, "answers lost");
    c.rules.troublesAreOver();
    c.world.runUntil(c.world.now() + 20_000);
    for (JobSpec job : waiting) {
      assertTrue(c.rules.cancelledAt(job.id()) >= 0, job.id() + " is cancelled");
      assertEquals(0, c.state.count("live/job/" + job.id()));
    }
    assertEquals(6, c.state.count("final/"));
  }
}
