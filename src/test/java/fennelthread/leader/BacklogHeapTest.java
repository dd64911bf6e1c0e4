package fennelthread.leader;

import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.LiveHeap;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobBacklog;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Measures what a waiting job takes of the heap of a follower and of a leader; run on demand for
 * the table in docs/measurements.md.
 */
@EnabledIfSystemProperty(named = "heap.backlog", matches = "true")
class BacklogHeapTest {
  private static final int JOBS = 500;

  private static JobSpec job(String id, int tasks, List<String> dependencies) {
    return JobSpec.builder(id)
        .jobClass("batch")
        .team("red")
        .tasks(tasks)
        .cpus(1)
        .memGb(1)
        .image("img-01")
        .imageGb(1)
        .estimateS(100)
        .deadlineS(1_000)
        .dependencies(dependencies)
        .build();
  }

  /** Loads and compiles the classes that the measured jobs need. */
  @BeforeAll
  static void warmUp() throws Exception {
    JobBacklog backlog = new JobBacklog();
    for (int i = 1; i <= JOBS; i++) {
      new ActiveJob(backlog.add(job("job-%06d".formatted(i), 1, List.of("job-000000"))));
    }
    LiveHeap.bytes();
  }

  @ParameterizedTest
  @CsvSource({
    "1, 0",
    "100, 0",
    "10000, 0",
    "100000, 0",
    "1, 10",
    "100000, 10",
    "1, 1100",
    "100000, 1100"
  })
  void measuresWaitingJobs(int tasks, int dependencyCount) throws Exception {
    JobBacklog backlog = new JobBacklog();
    List<String> dependencies =
        IntStream.range(0, dependencyCount).mapToObj("job-%06d"::formatted).toList();
    for (String id : dependencies) {
      backlog.add(job(id, 1, List.of()));
    }
    long before = LiveHeap.bytes();
    List<Job> jobs = new ArrayList<>(JOBS);
    for (int i = 0; i < JOBS; i++) {
      jobs.add(backlog.add(job("job-%06d".formatted(dependencyCount + i), tasks, dependencies)));
    }
    long follower = (LiveHeap.bytes() - before) / JOBS;
    List<ActiveJob> activeJobs = new ArrayList<>(JOBS);
    for (Job job : jobs) {
      activeJobs.add(new ActiveJob(job));
    }
    long leader = (LiveHeap.bytes() - before) / JOBS;
    System.out.printf("| %,d | %,d | %,d | %,d |%n", tasks, dependencyCount, follower, leader);
    assertTrue(activeJobs.size() == JOBS && backlog.graph() != null);
  }
}
