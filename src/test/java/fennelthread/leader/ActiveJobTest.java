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
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the leader holds of a live job. */
class ActiveJobTest {
  private static final int WARM_UP = 1_000;
  private static final int CREATIONS = 100;

  /** The most that a waiting job may take of the leader's heap, whatever its number of tasks. */
  private static final int MAX_WAITING_JOB_BYTES = 1_024;

  /** What each controller, leader or not, holds of a waiting job: BacklogHeapTest. */
  private static final int REPLICATED_JOB_BYTES = 576;

  /** How many of a job's tasks a round lists at most. */
  private static final int MAX_TASKS_LISTED = 240;

  /** The most that the list may take: less than one byte a task. */
  private static final int MAX_LISTED_TASKS_BYTES = 64;

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
    long bytes = allocatedBytes(() -> new ActiveJob(job));
    assertTrue(bytes <= MAX_WAITING_JOB_BYTES - REPLICATED_JOB_BYTES, bytes + " bytes");
  }

  /** Guards against rounds that fill the heap with the tasks of jobs that find no machine. */
  @ParameterizedTest
  @ValueSource(ints = {1, 100, 10_000, 100_000})
  void tasksOfAWaitingJobAreListedWithoutMemoryForEach(int tasks) {
    ActiveJob job = job(tasks);
    long bytes = allocatedBytes(() -> job.startableTasks(0, MAX_TASKS_LISTED));
    assertTrue(bytes <= MAX_LISTED_TASKS_BYTES, bytes + " bytes");
  }

  /** The bytes that one creation of an object allocates. */
  private static long allocatedBytes(Supplier<Object> create) {
    Object[] held = new Object[CREATIONS];
    for (int i = 0; i < WARM_UP; i++) {
      held[i % CREATIONS] = create.get();
    }
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < CREATIONS; i++) {
      held[i] = create.get();
    }
    return (threads.getCurrentThreadAllocatedBytes() - before) / CREATIONS;
  }

  @Test
  void tasksThatAreFinishedAreNotStartable() {
    ActiveJob job = job(5);
    assertEquals(List.of(0, 1, 2, 3, 4), job.startableTasks(0, 10));
    job.markFinished(1);
    job.markFinished(3);
    assertEquals(List.of(0, 2, 4), job.startableTasks(0, 10));
    assertEquals(List.of(0, 2), job.startableTasks(0, 2));
    assertEquals(List.of(0), job.startableTasks(0, 1));
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
