package fennelthread.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.SizeLimits;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WireException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the job table's index of recorded starts by job. */
class JobTableTest {
  private static final int TASKS = JobSpec.MAX_TASKS;
  private static final int STARTS_PER_RECORD = 40;
  private static final JobSpec HUGE_JOB =
      JobSpec.builder("job-000001")
          .jobClass("padron")
          .team("roja")
          .tasks(TASKS)
          .cpus(0.25)
          .memGb(0.5)
          .image("img")
          .imageGb(1)
          .spotAllowed(true)
          .estimateS(4)
          .build();

  private final JobTable table = new JobTable();

  private static StartRecord startRecord(int from, int until) {
    List<StartRecord.Start> starts = new ArrayList<>();
    for (int i = from; i < until; i++) {
      starts.add(StartRecord.Start.of(HUGE_JOB, i, 1_000 + i, "n-" + i % 200, 1));
    }
    return new StartRecord(starts);
  }

  private int startedTaskCount() {
    return table.startedTaskCount(new Job(HUGE_JOB, 1, 0));
  }

  /**
   * Guards against a search of all starts of a job whenever a start record is removed. With 25,000
   * recorded tasks of one team's array job, every controller ran that search, which was two thirds
   * of the leader's work and used up a CPU share of a sixth of a core.
   */
  @Test
  void removingAStartRecordDoesNotSearchAllStartsOfItsJob() {
    assertTimeoutPreemptively(
        Duration.ofSeconds(10),
        () -> {
          for (int i = 0; i < TASKS / STARTS_PER_RECORD; i++) {
            table.onChange(
                Keys.startRecord(1, i),
                startRecord(i * STARTS_PER_RECORD, (i + 1) * STARTS_PER_RECORD).encode(),
                1 + i);
          }
          assertEquals(TASKS, startedTaskCount());
          for (int i = TASKS / STARTS_PER_RECORD - 1; i >= 0; i--) {
            table.onChange(Keys.startRecord(1, i), null, TASKS);
          }
        });
    assertEquals(0, startedTaskCount());
  }

  /**
   * Compaction moves starts to a new record in one transaction, and while its changes reach the
   * table one by one a start may be in two records.
   */
  @Test
  void aStartInTwoRecordsIsKnownUntilBothAreRemoved() {
    table.onChange(Keys.startRecord(1, 1), startRecord(0, 3).encode(), 1);
    table.onChange(Keys.startRecord(1, 2), startRecord(2, 4).encode(), 2);
    assertEquals(4, startedTaskCount());
    table.onChange(Keys.startRecord(1, 1), null, 3);
    assertEquals(2, startedTaskCount());
    TaskRef taskInBoth = new TaskRef(HUGE_JOB.id(), 2);
    assertEquals("n-2", table.recordedStart(taskInBoth, 1_002, "n-2").machine());
    assertNull(table.recordedStart(taskInBoth, 1_002, "n-3"));
    assertNull(table.recordedStart(new TaskRef(HUGE_JOB.id(), 0), 1_000, "n-0"));
    table.onChange(Keys.startRecord(1, 2), startRecord(5, 6).encode(), 4);
    assertEquals(1, startedTaskCount());
  }

  /** A chunk of finished tasks that can't be read keeps nobody from knowing its job. */
  @ParameterizedTest
  @ValueSource(strings = {"/0", "/x"})
  void aMalformedChunkOfFinishedTasksDoesNotHideItsJob(String end) throws WireException {
    List<Job> added = new ArrayList<>();
    table.addListener(
        new JobTable.Listener() {
          @Override
          public void onJobAdded(Job job) {
            added.add(job);
          }

          @Override
          public void onJobRemoved(Job job) {}
        });
    String id = HUGE_JOB.id();
    Fields malformed = Fields.create().with("r", "no list");
    table.onChange(Keys.FINISHED_TASKS_PREFIX + id + end, malformed, 1);
    SizeLimits limits = new SizeLimits(new Settings.StateLimits(500, 300, 16 * 1024, 12));
    JobRecordCodec.encode(HUGE_JOB, 1, limits)
        .forEach((key, record) -> table.onChange(key, record, 2));
    assertEquals(List.of(id), added.stream().map(job -> job.spec().id()).toList());
    assertEquals(added.get(0), table.get(id));
  }
}
