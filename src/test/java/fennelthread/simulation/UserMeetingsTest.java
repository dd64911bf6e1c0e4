package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.net.Answer;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Where what users ask meets an end, a lost answer of the state service, or one another. The rules
 * are checked after each step: among them that no controller gives an older answer than another
 * gave, nor a lower count of finished tasks. What each kind of write does when its answer is lost
 * stands in docs/lost-answers.md.
 */
class UserMeetingsTest {
  private static final List<String> MEMBERS = List.of("nodo-0", "nodo-1", "nodo-2");

  /** How soon a user's request is answered although one answer of the state service is lost, ms. */
  private static final long SETTLED_MS = 700;

  /** Which transactions are meant, by caller and body. */
  private enum Write {
    ACCEPTANCE,
    COMPLETION,
    CANCELLATION;

    BiPredicate<String, String> of(String id) {
      return switch (this) {
        case ACCEPTANCE -> (caller, body) -> accepts(body) && body.contains("live/job/" + id);
        case COMPLETION ->
            (caller, body) ->
                body.contains("final/" + id)
                    && body.contains("estado")
                    && !cancels(body)
                    && !accepts(body);
        case CANCELLATION -> (caller, body) -> body.contains("final/" + id) && cancels(body);
      };
    }

    private static boolean cancels(String body) {
      return body.contains("withdrawn");
    }

    private static boolean accepts(String body) {
      return body.contains("tareas");
    }
  }

  private static SimulatedCluster settled(long seed) {
    return Scenes.settled(seed, Deployment.tiny(), 0);
  }

  private static void every(SimulatedCluster c, long stepMs, int times, Runnable task) {
    for (int i = 0; i < times; i++) {
      c.world.after(i * stepMs, task);
    }
  }

  private static void askAll(SimulatedCluster c, String id) {
    MEMBERS.forEach(member -> c.askAt(member, id));
  }

  // ---------------------------------------------------------------- the end of the last task

  /** Each order of the two transactions, each answer lost or not, each controller asked. */
  static Stream<Arguments> endings() {
    List<Arguments> cases = new ArrayList<>();
    long seed = 1;
    for (boolean cancelFirst : new boolean[] {true, false}) {
      for (List<Write> lost :
          List.of(
              List.<Write>of(),
              List.of(Write.COMPLETION),
              List.of(Write.CANCELLATION),
              List.of(Write.COMPLETION, Write.CANCELLATION))) {
        for (String member : MEMBERS) {
          cases.add(Arguments.of(seed++, cancelFirst, lost, member));
        }
      }
    }
    return cases.stream();
  }

  @ParameterizedTest
  @MethodSource("endings")
  void aCancellationMeetsTheEndOfTheLastTask(
      long seed, boolean cancelFirst, List<Write> lost, String member) throws WireException {
    SimulatedCluster c = settled(seed);
    c.beginRepeatedQueries(60_000);
    JobSpec job = Scenes.lasting(c, 1, 2);
    c.submit(job);
    String id = job.id();
    lost.forEach(write -> c.state.loseNextAnswers(write.of(id), 1));
    Map<Write, Long> arrived = new LinkedHashMap<>();
    Answer[] told = new Answer[1];
    long[] asked = new long[1];
    long[] answered = new long[1];
    c.state.transactionDelayMs =
        (caller, body) -> {
          if (Write.COMPLETION.of(id).test(caller, body)
              && arrived.putIfAbsent(Write.COMPLETION, c.world.now()) == null) {
            // The cancellation is asked for while the end is on its way to the state service.
            asked[0] = c.world.now();
            c.checker.recordCancelRequest(id);
            c.cancelAt(
                member,
                id,
                answer -> {
                  told[0] = answer;
                  answered[0] = c.world.now();
                });
            every(c, 7, 120, () -> askAll(c, id));
            MEMBERS.forEach(m -> c.submitAt(m, id, job.write(), answer -> {}));
            return cancelFirst ? 100 : 40;
          }
          if (Write.CANCELLATION.of(id).test(caller, body)
              && arrived.putIfAbsent(Write.CANCELLATION, c.world.now()) == null) {
            return cancelFirst ? 0 : 80;
          }
          return 0;
        };
    c.world.runUntil(c.world.now() + 30_000);
    assertEquals(2, arrived.size(), "both transactions were sent: " + arrived);
    assertTrue(arrived.get(Write.CANCELLATION) - asked[0] < 40, "and met: " + arrived);
    Write first = cancelFirst ? Write.CANCELLATION : Write.COMPLETION;
    assertEquals(lost.contains(first) ? 1 : 0, c.state.answersLost, "answers lost");
    assertNotNull(told[0]);
    assertEquals(cancelFirst ? "withdrawn" : "done", told[0].fields().text("estado"));
    assertTrue(answered[0] - asked[0] <= SETTLED_MS, "took " + (answered[0] - asked[0]) + " ms");
    assertEquals(1, c.state.countKeys("final/" + id));
    assertEquals(0, c.state.countKeys("live/job/" + id));
    assertTrue(c.repeatedQueries.queriesSent > 0 && c.checker.isOver(id));
  }

  // ---------------------------------------------------------------- acceptances

  static Stream<Arguments> repeats() {
    List<Arguments> cases = new ArrayList<>();
    for (String second : MEMBERS) {
      for (long afterMs : new long[] {0, 1, 2, 5, 20, 100, 400}) {
        cases.add(Arguments.of(second, afterMs));
      }
    }
    return cases.stream();
  }

  /**
   * The answer to an acceptance is lost, and its user repeats the submission, here or elsewhere.
   */
  @ParameterizedTest
  @MethodSource("repeats")
  void anAcceptanceWhoseAnswerIsLostIsSettledByTheController(String second, long afterMs) {
    SimulatedCluster c = settled(11 + afterMs);
    JobSpec job = Scenes.lasting(c, 1, 2);
    c.checker.recordSubmission(job);
    c.state.loseNextAnswers(Write.ACCEPTANCE.of(job.id()), 1);
    int[] sent = new int[1];
    c.state.transactionDelayMs =
        (caller, body) -> {
          sent[0] += Write.ACCEPTANCE.of(job.id()).test(caller, body) ? 1 : 0;
          return 0;
        };
    long from = c.world.now();
    Map<String, Long> answeredAt = new LinkedHashMap<>();
    List<Integer> statuses = new ArrayList<>();
    c.submitAt(
        "nodo-0",
        job.id(),
        job.write(),
        a -> {
          answeredAt.put("first", c.world.now());
          statuses.add(a.status());
        });
    c.world.after(
        3 + afterMs,
        () ->
            c.submitAt(
                second,
                job.id(),
                job.write(),
                a -> {
                  answeredAt.put("second", c.world.now());
                  statuses.add(a.status());
                }));
    every(c, 10, 100, () -> askAll(c, job.id()));
    c.world.runUntil(from + 15_000);
    assertEquals(1, c.state.answersLost);
    // Another controller may send its own before its copy of the state shows the record.
    assertTrue(sent[0] <= (second.equals("nodo-0") ? 1 : 2), sent[0] + " transactions");
    assertEquals(2, answeredAt.size(), "answered: " + answeredAt);
    assertTrue(statuses.stream().allMatch(s -> s == 200 || s == 201), "statuses " + statuses);
    for (long at : answeredAt.values()) {
      assertTrue(at - from - afterMs <= SETTLED_MS, "took " + (at - from) + " ms");
    }
    assertEquals(1, c.state.countKeys("final/" + job.id()), "it ran, once");
  }

  /** An acceptance that is carried out late is sent again, and applied once. */
  @ParameterizedTest
  @ValueSource(longs = {400, 900, 2_500, 6_000})
  void anAcceptanceThatIsHeldUpIsSentAgain(long heldMs) throws WireException {
    SimulatedCluster c = settled(5);
    JobSpec job = Scenes.lasting(c, 1, 2);
    c.checker.recordSubmission(job);
    int[] sent = new int[1];
    c.state.transactionDelayMs =
        (caller, body) ->
            Write.ACCEPTANCE.of(job.id()).test(caller, body) && sent[0]++ == 0 ? heldMs : 0;
    long from = c.world.now();
    Answer[] told = new Answer[1];
    long[] at = new long[1];
    c.submitAt(
        "nodo-1",
        job.id(),
        job.write(),
        a -> {
          told[0] = a;
          at[0] = c.world.now();
        });
    every(c, 50, 400, () -> MEMBERS.forEach(m -> c.askAt(m, job.id())));
    c.world.runUntil(from + 20_000);
    assertEquals(2, sent[0], "transactions");
    assertNotNull(told[0]);
    assertEquals(201, told[0].status());
    assertTrue(at[0] - from <= SETTLED_MS, "took " + (at[0] - from) + " ms");
    assertEquals(1, c.state.countKeys("final/" + job.id()));
    assertEquals(0, c.state.countKeys("live/job/" + job.id()), "not brought back by the late one");
  }

  /**
   * A submission that comes while the same one is under way may come after that was applied, and
   * after the job was cancelled through another controller.
   */
  @ParameterizedTest
  @ValueSource(longs = {30, 60, 70, 75, 80, 85, 90, 95, 140})
  void aSubmissionThatJoinsAnotherIsToldWhatTheJobIsNow(long afterMs) throws WireException {
    SimulatedCluster c = settled(7);
    // Not while a watch is opened: its answer would be late too.
    c.world.runUntil(c.world.now() + 1_500);
    JobSpec job = Scenes.lasting(c, 1, 5);
    c.checker.recordSubmission(job);
    c.state.delayAnswers(110, 10);
    c.submitAt("nodo-0", job.id(), job.write(), a -> {});
    c.world.runUntil(c.world.now() + 12);
    assertEquals(1, c.state.countKeys("live/job/" + job.id()), "applied, and not answered yet");
    c.checker.recordCancelRequest(job.id());
    Answer[] told = new Answer[2];
    c.cancelAt("nodo-1", job.id(), a -> told[0] = a);
    c.world.runUntil(c.world.now() + afterMs);
    assertNotNull(told[0], "cancelled by then");
    assertEquals("withdrawn", told[0].fields().text("estado"));
    c.submitAt("nodo-0", job.id(), job.write(), a -> told[1] = a);
    c.world.runUntil(c.world.now() + 1_000);
    assertNotNull(told[1]);
    assertEquals("withdrawn", told[1].fields().text("estado"));
  }

  // ---------------------------------------------------------------- counts

  /** Tasks end one after the other while users ask all controllers: no count falls. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noControllerCallsFewerTasksDoneThanAnother(long seed) {
    SimulatedCluster c = settled(seed);
    JobSpec job = Scenes.lasting(c, 40, 3);
    c.submit(job);
    // Other changes keep the copies of the state a moment behind.
    every(c, 90, 250, () -> c.submitOnce(Scenes.lasting(c, 1, 60)));
    List<Long> counts = new ArrayList<>();
    for (int i = 0; i < 4_000; i++) {
      String member = MEMBERS.get(i % MEMBERS.size());
      c.world.after(
          i * 5L, () -> c.askAt(member, job.id(), a -> counts.add(Scenes.count(a, "done"))));
    }
    c.world.runUntil(c.world.now() + 25_000);
    long steps = counts.stream().distinct().count();
    assertTrue(steps >= 4, "counts told: " + counts.stream().distinct().toList());
  }

  /**
   * A controller whose copy of the state has not got the job yet reads its records just as it is
   * cancelled through another.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aJobIsCancelledWhileItsRecordsAreRead(long seed) {
    SimulatedCluster c = settled(seed);
    List<String> told = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      JobSpec other = Scenes.lasting(c, 1, 60);
      JobSpec job = Scenes.lasting(c, 1, 60);
      c.world.after(i * 200L, () -> c.submitOnce(other));
      c.checker.recordSubmission(job);
      c.world.after(
          i * 200L + 10,
          () ->
              c.submitAt(
                  "nodo-0",
                  job.id(),
                  job.write(),
                  accepted -> {
                    c.checker.recordCancelRequest(job.id());
                    c.cancelAt("nodo-0", job.id());
                    every(
                        c,
                        1,
                        30,
                        () -> c.askAt("nodo-2", job.id(), a -> told.add(Scenes.state(a))));
                  }));
    }
    c.world.runUntil(c.world.now() + 20_000);
    assertTrue(told.contains("pending") && told.contains("withdrawn"), "before and after");
    assertTrue(told.stream().allMatch(s -> s != null), "all are answered");
  }

  // ---------------------------------------------------------------- a share of the answers

  /** A fifth of the answers is lost: nearly all submissions are accepted within a second. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aFifthOfTheAnswersLostDelaysFew(long seed) {
    SimulatedCluster c = settled(seed);
    c.state.loseAnswers(0.2, 120_000);
    int[] inTime = new int[1];
    int all = 240;
    for (int i = 0; i < all; i++) {
      JobSpec job = Scenes.lasting(c, 1, 1);
      c.checker.recordSubmission(job);
      String member = MEMBERS.get(i % MEMBERS.size());
      c.world.after(
          i * 500L,
          () -> {
            long from = c.world.now();
            c.submitAt(
                member,
                job.id(),
                job.write(),
                a ->
                    inTime[0] +=
                        a != null && a.status() < 300 && c.world.now() - from <= 1_000 ? 1 : 0);
          });
    }
    c.world.runUntil(c.world.now() + 130_000);
    assertTrue(c.state.answersLost > 100, c.state.answersLost + " lost");
    assertTrue(inTime[0] >= 0.97 * all, inTime[0] + " of " + all + " in time");
  }

  // ---------------------------------------------------------------- jobs of one task

  /**
   * One-task jobs come four a second for five minutes, a quarter of them cancelled, with no answer
   * lost or a fifth of them.
   */
  @ParameterizedTest
  @CsvSource({"0,5,300", "0.2,9,800"})
  void oneTaskJobsComeFourASecond(double lost, double mostChanges, long medianMs) {
    SimulatedCluster c = Scenes.settled(4, Deployment.large(30), 0);
    c.state.loseAnswers(lost, 320_000);
    long keysBefore = c.state.countKeys("live/");
    long changesBefore = c.state.changes;
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 1_200; i++) {
      JobSpec job = Scenes.lasting(c, 1, 1 + i % 5);
      jobs.add(job);
      c.world.after(i * 250L, () -> c.submit(job));
      if (i % 4 == 0) {
        c.world.after(i * 250L + 100 + i % 9 * 500L, () -> c.cancel(job.id()));
      }
    }
    Map<String, Long> toDone = timesToDone(c, jobs, 320_000);
    c.checker.recordEndOfFaults();
    c.world.runUntil(c.world.now() + 30_000);
    long cancelled = jobs.stream().filter(j -> c.checker.cancelledAt(j.id()) >= 0).count();
    long done = jobs.stream().filter(j -> c.checker.allCompleted(j.id())).count();
    assertTrue(cancelled >= 200, cancelled + " cancelled");
    assertTrue(jobs.stream().allMatch(j -> c.checker.isOver(j.id())), "all are over");
    assertEquals(jobs.size(), c.state.countKeys("final/"));
    long keys = c.state.countKeys("live/") - keysBefore;
    double changes = (c.state.changes - changesBefore) / (double) jobs.size();
    List<Long> times = toDone.values().stream().sorted().toList();
    long median = times.get(times.size() / 2);
    long last = times.get(times.size() - 1);
    System.out.printf(
        "%d done, %d cancelled, %d keys more, %.2f changes a job, done told after %d ms, at most %d%n",
        done, cancelled, keys, changes, median, last);
    assertTrue(keys <= 60, keys + " keys more than before");
    assertTrue(changes <= mostChanges, changes + " changes a job");
    assertTrue(median <= medianMs, "done is told after " + median + " ms");
    assertTrue(last <= 3_000, "done is told after " + last + " ms at the latest");
  }

  /** How long after its task's end each job is called done, asked every 50 ms, ms. */
  private static Map<String, Long> timesToDone(SimulatedCluster c, List<JobSpec> jobs, long forMs) {
    Map<String, Long> completedAt = new LinkedHashMap<>();
    Map<String, Long> took = new LinkedHashMap<>();
    long until = c.world.now() + forMs;
    int asked = 0;
    while (c.world.now() < until) {
      c.world.runUntil(c.world.now() + 50);
      for (JobSpec job : jobs) {
        String id = job.id();
        if (!c.checker.isAccepted(id) || took.containsKey(id) || !c.checker.allCompleted(id)) {
          continue;
        }
        long at = completedAt.computeIfAbsent(id, k -> c.world.now());
        c.askAt(
            MEMBERS.get(asked++ % MEMBERS.size()),
            id,
            a -> {
              if ("done".equals(Scenes.state(a))) {
                took.putIfAbsent(id, c.world.now() - at);
              }
            });
      }
      took.keySet().forEach(completedAt::remove);
    }
    return took;
  }
}
