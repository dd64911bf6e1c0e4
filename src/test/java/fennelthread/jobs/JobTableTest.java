package fennelthread.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import fennelthread.state.Keys;
import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The table's index of recorded starts by job. */
class JobTableTest {
  private static final int TASKS = JobSpec.MAX_TASKS;
  private static final int PER_RECORD = 40;
  private static final JobSpec HUGE =
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

  private static StartRecord record(int from, int until) {
    List<StartRecord.Start> starts = new ArrayList<>();
    for (int i = from; i < until; i++) {
      starts.add(StartRecord.Start.of(HUGE, i, 1_000 + i, "n-" + i % 200, 1));
    }
    return new StartRecord(starts);
  }

  private int started() {
    return table.startedTaskCount(new Job(HUGE, 1, 0));
  }

  /**
   * With 25,000 tasks of one job on record each removed record searched all of them, on every
   * controller: two thirds of the leader's work, and a share of a sixth of a core was used up by
   * one team's array.
   */
  @Test
  void addingAndRemovingARecordCostsByItsSizeNotItsJobs() {
    assertTimeoutPreemptively(
        Duration.ofSeconds(10),
        () -> {
          for (int i = 0; i < TASKS / PER_RECORD; i++) {
            table.onChange(
                Keys.startRecord(1, i),
                record(i * PER_RECORD, (i + 1) * PER_RECORD).encode(),
                1 + i);
          }
          assertEquals(TASKS, started());
          for (int i = TASKS / PER_RECORD - 1; i >= 0; i--) {
            table.onChange(Keys.startRecord(1, i), null, TASKS);
          }
        });
    assertEquals(0, started());
  }

  /**
   * Records are drawn together in one transaction: the same start is on record twice for a moment.
   */
  @Test
  void aStartInTwoRecordsIsKnownUntilBothAreRemoved() {
    table.onChange(Keys.startRecord(1, 1), record(0, 3).encode(), 1);
    table.onChange(Keys.startRecord(1, 2), record(2, 4).encode(), 2);
    assertEquals(4, started());
    table.onChange(Keys.startRecord(1, 1), null, 3);
    assertEquals(2, started());
    TaskRef second = new TaskRef(HUGE.id(), 2);
    assertEquals("n-2", table.recordedStart(second, 1_002, "n-2").machine());
    assertNull(table.recordedStart(second, 1_002, "n-3"));
    assertNull(table.recordedStart(new TaskRef(HUGE.id(), 0), 1_000, "n-0"));
    table.onChange(Keys.startRecord(1, 2), record(5, 6).encode(), 4);
    assertEquals(1, started());
  }
}
