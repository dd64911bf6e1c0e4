package fennelthread.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the dependency graph by itself, also against a model that scans all jobs at each query. */
class DependencyGraphTest {
  private static final List<Priority> PRIORITIES = List.of(Priority.values());
  private static final int NO_PRIORITY = 4;
  private final Map<String, Job> live = new LinkedHashMap<>();
  private final Map<String, FinalRecord> storedRecords = new HashMap<>();
  private final Map<String, FinalRecord> knownRecords = new HashMap<>();
  private final DependencyGraph.KnownJobs knownJobs =
      new DependencyGraph.KnownJobs() {
        @Override
        public boolean isLive(String id) {
          return live.containsKey(id);
        }

        @Override
        public Optional<FinalRecord> finalRecord(String id) {
          return Optional.ofNullable(knownRecords.get(id));
        }
      };
  private int changeCount;
  private int deadlinesComputed;
  private final DependencyGraph graph =
      new DependencyGraph(
          spec -> {
            deadlinesComputed++;
            return spec.deadlineS() * 1.5;
          },
          new DependencyGraph.Listener() {
            @Override
            public void onPhaseChanged(Job job, DependencyGraph.Phase newPhase) {
              changeCount++;
            }

            @Override
            public void onInheritedPriorityChanged(String id) {
              changeCount++;
            }
          });

  private Job job(int number, Priority priority, double deadlineS, List<String> dependencies) {
    return new Job(
        JobSpec.builder("job-" + number)
            .jobClass("lote")
            .team("roja")
            .priority(priority)
            .tasks(1)
            .cpus(1)
            .memGb(1)
            .image("img")
            .imageGb(1)
            .spotAllowed(true)
            .estimateS(10)
            .deadlineS(deadlineS)
            .dependencies(dependencies)
            .build(),
        number,
        1_000L * number);
  }

  private void acceptJob(Job job) {
    live.put(job.spec().id(), job);
    graph.add(job, knownJobs);
  }

  private void endJob(String id, JobState state) {
    live.remove(id);
    storedRecords.put(id, new FinalRecord(state, 1, 5_000_000 + id.hashCode() % 1_000));
    graph.remove(id);
  }

  /** Delivers a final record as if it had been read from the state service. */
  private void deliverFinalRecord(String id) {
    knownRecords.put(id, storedRecords.get(id));
    graph.onFinalRecord(id, storedRecords.get(id));
  }

  @Test
  void onlyAFinalRecordReleasesADependant() {
    Job first = job(1, Priority.STANDARD, -1, List.of());
    Job second = job(2, Priority.STANDARD, -1, List.of("job-1"));
    acceptJob(first);
    acceptJob(second);
    assertTrue(graph.isReleased(first));
    assertFalse(graph.isReleased(second));
    endJob("job-1", JobState.DONE);
    assertFalse(graph.isReleased(second), "a job that is no longer live may have been cancelled");
    assertEquals(Set.of("job-1"), Set.copyOf(graph.unresolvedDependencies()));
    deliverFinalRecord("job-1");
    assertTrue(graph.isReleased(second));
    assertEquals(storedRecords.get("job-1").endedWallMs(), graph.releasedAtMs(second));
    assertTrue(graph.unresolvedDependencies().isEmpty());
  }

  /**
   * Final records of the version in production hold no time: the job counts as released when it was
   * accepted.
   */
  @Test
  void aFinalRecordWithoutATimeReleasesAtAcceptance() {
    knownRecords.put("job-1", new FinalRecord(JobState.DONE, 1, 0));
    Job second = job(2, Priority.STANDARD, -1, List.of("job-1"));
    acceptJob(second);
    assertTrue(graph.isReleased(second));
    assertEquals(2_000, graph.releasedAtMs(second));
  }

  @Test
  void priorityAndDeadlineAreInheritedFromDependants() {
    acceptJob(job(1, Priority.BEST_EFFORT, -1, List.of()));
    acceptJob(job(2, Priority.BEST_EFFORT, -1, List.of("job-1")));
    assertEquals(Priority.BEST_EFFORT, graph.inheritedPriority("job-1").priority());
    acceptJob(job(3, Priority.URGENT, 100, List.of("job-2")));
    // Job 3 is due at 103 s, or at 153 s by its latest deadline; each dependant runs 10 s.
    assertEquals(
        new InheritedPriority(Priority.URGENT, 93_000, 143_000), graph.inheritedPriority("job-2"));
    assertEquals(
        new InheritedPriority(Priority.URGENT, 83_000, 133_000), graph.inheritedPriority("job-1"));
    endJob("job-3", JobState.CANCELLED);
    assertEquals(Priority.BEST_EFFORT, graph.inheritedPriority("job-1").priority());
    endJob("job-2", JobState.CANCELLED);
    assertNull(graph.inheritedPriority("job-1"), "nothing is inherited from a cancelled job");
  }

  /**
   * On random graphs, with acceptances, ends and reads in random order, the graph agrees with the
   * model after each step.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void agreesWithTheModelOnRandomGraphs(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> ids = new ArrayList<>();
    Map<String, Job> all = new HashMap<>();
    for (int step = 0; step < 1_500; step++) {
      int action = random.nextInt(10);
      if (action < 3 || ids.size() < 3) {
        Set<String> dependencies = new HashSet<>();
        for (int i = random.nextInt(4); i > 0 && !ids.isEmpty(); i--) {
          dependencies.add(ids.get(Math.max(0, ids.size() - 1 - random.nextInt(12))));
        }
        Job job =
            job(
                step + 1,
                PRIORITIES.get(random.nextInt(4)),
                random.nextBoolean() ? -1 : 50 + random.nextInt(100),
                List.copyOf(dependencies));
        ids.add(job.spec().id());
        all.put(job.spec().id(), job);
        acceptJob(job);
      } else if (action < 6 && !live.isEmpty()) {
        List<Job> released = live.values().stream().filter(graph::isReleased).toList();
        boolean isDone = random.nextInt(5) > 0 && !released.isEmpty();
        List<Job> candidates = isDone ? released : List.copyOf(live.values());
        endJob(
            candidates.get(random.nextInt(candidates.size())).spec().id(),
            isDone ? JobState.DONE : JobState.CANCELLED);
      } else if (!graph.unresolvedDependencies().isEmpty()) {
        deliverFinalRecord(
            List.copyOf(graph.unresolvedDependencies())
                .get(random.nextInt(graph.unresolvedDependencies().size())));
      }
      for (Job job : live.values()) {
        checkJob(job, all);
      }
    }
  }

  private void checkJob(Job job, Map<String, Job> all) {
    String id = job.spec().id();
    boolean isReleasable = true;
    for (String dependency : job.spec().dependencies()) {
      FinalRecord finalRecord = knownRecords.get(dependency);
      isReleasable &= finalRecord != null && finalRecord.state() == JobState.DONE;
      assertEquals(
          !live.containsKey(dependency) && finalRecord == null,
          graph.unresolvedDependencies().contains(dependency),
          dependency);
    }
    assertEquals(isReleasable, graph.isReleased(job), id);
    if (isToBeCancelled(id, all, false)) {
      assertTrue(graph.isToBeCancelled(id), id);
    }
    if (graph.isToBeCancelled(id)) {
      assertTrue(isToBeCancelled(id, all, true), id);
    }
    InheritedPriority inherited = graph.inheritedPriority(id);
    assertEquals(
        inheritedPriorityIndex(id, all),
        inherited == null ? NO_PRIORITY : PRIORITIES.indexOf(inherited.priority()),
        id);
  }

  /**
   * True if a direct or indirect dependency is known to be cancelled. Indirect ones are found
   * through live jobs, and with {@code throughEndedJobs} also through jobs that have ended without
   * a known final record.
   */
  private boolean isToBeCancelled(String id, Map<String, Job> all, boolean throughEndedJobs) {
    return all.get(id).spec().dependencies().stream()
        .anyMatch(
            dependency ->
                knownRecords.containsKey(dependency)
                    ? knownRecords.get(dependency).state() == JobState.CANCELLED
                    : (throughEndedJobs || live.containsKey(dependency))
                        && isToBeCancelled(dependency, all, throughEndedJobs));
  }

  /**
   * The model: the index of the priority that the job should inherit, {@code NO_PRIORITY} if it
   * should inherit none.
   */
  private int inheritedPriorityIndex(String id, Map<String, Job> all) {
    int mostUrgent = NO_PRIORITY;
    for (Job other : live.values()) {
      if (other.spec().dependencies().contains(id) && !graph.isToBeCancelled(other.spec().id())) {
        mostUrgent = Math.min(mostUrgent, PRIORITIES.indexOf(other.spec().priority()));
        mostUrgent = Math.min(mostUrgent, inheritedPriorityIndex(other.spec().id(), all));
      }
    }
    return mostUrgent;
  }

  /**
   * Guards against a stack overflow from recursion along a long chain of dependencies, and against
   * repeated updates: each step on a chain of 1,000 jobs makes a number of changes proportional to
   * its length.
   */
  /** Guards against controllers that stand still while many jobs come that name the same jobs. */
  @Test
  void aJobIsAddedWithoutALookAtTheOtherDependants() {
    List<String> dependencies = IntStream.range(0, 100).mapToObj(i -> "job-" + i).toList();
    for (int i = 0; i < 100; i++) {
      acceptJob(job(i, Priority.STANDARD, -1, List.of()));
    }
    for (int i = 100; i < 200; i++) {
      acceptJob(job(i, Priority.STANDARD, 100, dependencies));
    }
    deadlinesComputed = 0;
    acceptJob(job(200, Priority.STANDARD, 100, dependencies));
    assertTrue(deadlinesComputed <= dependencies.size(), deadlinesComputed + " looks at jobs");
  }

  @Test
  void aLongChainIsUpdatedWithoutRecursionOrExtraChanges() {
    acceptJob(job(0, Priority.BEST_EFFORT, -1, List.of()));
    for (int i = 1; i < 1_000; i++) {
      acceptJob(job(i, Priority.BEST_EFFORT, -1, List.of("job-" + (i - 1))));
    }
    assertEquals(
        1_000 - 1, changeCount, "one inherited priority for each job that has a dependant");
    acceptJob(job(1_000, Priority.URGENT, 60, List.of("job-999")));
    assertEquals(2 * 1_000 - 1, changeCount);
    assertEquals(Priority.URGENT, graph.inheritedPriority("job-0").priority());
    changeCount = 0;
    endJob("job-0", JobState.CANCELLED);
    deliverFinalRecord("job-0");
    assertEquals(1_000, graph.jobsToCancel().size());
    assertTrue(changeCount <= 3_000, changeCount + " changes");
  }

  /** A job with 1,000 dependants makes one change for each of them when it is done. */
  @Test
  void manyDependantsOfOneJobAreReleasedOnce() {
    acceptJob(job(0, Priority.BEST_EFFORT, -1, List.of()));
    for (int i = 1; i <= 1_000; i++) {
      acceptJob(job(i, Priority.STANDARD, -1, List.of("job-0")));
    }
    assertEquals(1, changeCount, "the inherited priority changes only once");
    endJob("job-0", JobState.DONE);
    changeCount = 0;
    deliverFinalRecord("job-0");
    assertEquals(1_000, changeCount);
    assertTrue(live.values().stream().allMatch(graph::isReleased));
  }
}
