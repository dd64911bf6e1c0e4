package fennelthread.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobFixtures;
import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.lang.management.ManagementFactory;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the leader holds of a live job. */
class ActiveJobTest {
  private static final int WARM_UP = 1_000;
  private static final int JOBS = 100;

  /** The most that a waiting job may take in the leader, whatever its number of tasks. */
  private static final int MAX_WAITING_JOB_BYTES = 1_024;

  private static ActiveJob job(int tasks) {
    return new ActiveJob(accepted(tasks));
  }

  private static Job accepted(int tasks) {
    return JobFixtures.accepted(
        JobSpec.builder("job-000001")
            .jobClass("batch")
            .team("red")
            .priority(Priority.STANDARD)
            .tasks(tasks)
            .cpus(1)
            .memGb(1)
            .image("img-01")
            .imageGb(1)
            .build());
  }

  /** Guards against leaders that end for memory because large arrays wait: review/3. */
  @ParameterizedTest
  @ValueSource(ints = {1, 100, 10_000, 100_000})
  void waitingJobTakesTheSameMemoryWhateverItsTasks(int tasks) {
    Job job = accepted(tasks);
    ActiveJob[] held = new ActiveJob[JOBS];
    for (int i = 0; i < WARM_UP; i++) {
      held[i % JOBS] = new ActiveJob(job);
    }
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < JOBS; i++) {
      held[i] = new ActiveJob(job);
    }
    long bytes = (threads.getCurrentThreadAllocatedBytes() - before) / JOBS;
    assertTrue(bytes <= MAX_WAITING_JOB_BYTES, bytes + " bytes");
  }

  @Test
  void tasksThatAreFinishedAreNotStartable() {
    ActiveJob job = job(5);
    assertEquals(List.of(0, 1, 2, 3, 4), job.startableTasks(0, 10));
    job.markFinished(1);
    job.markFinished(3);
    assertEquals(List.of(0, 2, 4), job.startableTasks(0, 10));
    assertEquals(List.of(0, 2), job.startableTasks(0, 2));
    assertTrue(job.hasIdleTasks());
    job.markFinished(0);
    job.markFinished(2);
    job.markFinished(4);
    assertEquals(List.of(), job.startableTasks(0, 10));
    assertFalse(job.hasIdleTasks());
  }

  @Test
  void tasksFinishedBeforeTheTermAreNotStartable() {
    Job job = accepted(4);
    job.finishedTasks().set(0, 3);
    assertEquals(List.of(3), new ActiveJob(job).startableTasks(0, 10));
    assertEquals(1, new ActiveJob(job).unfinishedCount());
  }
}
