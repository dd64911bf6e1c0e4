package fennelthread.jobs;

import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Unavailability;
import fennelthread.wire.WireException;
import java.util.function.Consumer;

/**
 * Reads a job's records from the state service when the copy of the state has none, or older ones.
 */
final class JobRecordReader {
  private final StateClient state;
  private final Replica replica;
  private final JobTable table;
  private final FinalRecords finals;

  JobRecordReader(StateClient state, Replica replica, JobTable table, FinalRecords finals) {
    this.state = state;
    this.replica = replica;
    this.table = table;
    this.finals = finals;
  }

  /**
   * Reads the live record, then the final one. The order matters: a record moves from live to final
   * in one transaction, so that a job found in neither was unknown when the first was read.
   */
  void read(String id, Consumer<LookupResult> done) {
    state.get(
        Keys.job(id),
        live -> {
          if (live == null) {
            done.accept(new LookupResult.Unavailable(Unavailability.UNANSWERED));
          } else if (live.value() == null) {
            finals.read(id, done);
          } else {
            found(id, live, done);
          }
        });
  }

  private void found(String id, StateClient.Entry live, Consumer<LookupResult> done) {
    try {
      Job job = table.get(id) != null ? table.get(id) : Job.read(live.value(), live.revision());
      if (job.chunks() == 0) {
        done.accept(new LookupResult.Live(job));
      } else {
        readChunks(job, null, done);
      }
    } catch (WireException e) {
      done.accept(new LookupResult.Unavailable(Unavailability.UNREADABLE));
    }
  }

  /** Reads what has finished of a job that the copy knows as live, and then whether it still is. */
  void readProgress(String id, Consumer<LookupResult> done) {
    Job job = table.get(id);
    if (job == null) {
      read(id, done);
    } else {
      readChunks(job, null, done);
    }
  }

  private void readChunks(Job job, String since, Consumer<LookupResult> done) {
    String id = job.spec().id();
    state.list(
        Keys.finishedOf(id),
        since,
        page -> {
          if (page == null) {
            done.accept(new LookupResult.Unavailable(Unavailability.UNANSWERED));
            return;
          }
          try {
            for (StateClient.Entry chunk : page.items()) {
              replica.learned(chunk);
              job.readChunk(Keys.partOf(chunk.key()), chunk.value());
            }
          } catch (WireException e) {
            done.accept(new LookupResult.Unavailable(Unavailability.UNREADABLE));
            return;
          }
          if (page.more() && !page.items().isEmpty()) {
            readChunks(job, page.items().get(page.items().size() - 1).key(), done);
          } else {
            confirmLive(job, done);
          }
        });
  }

  /** Of a job that is over the finished tasks may be removed already: its final record counts. */
  private void confirmLive(Job job, Consumer<LookupResult> done) {
    String id = job.spec().id();
    state.get(
        Keys.job(id),
        live -> {
          if (live == null) {
            done.accept(new LookupResult.Unavailable(Unavailability.UNANSWERED));
          } else if (live.value() == null) {
            finals.read(id, done);
          } else {
            done.accept(new LookupResult.Live(job));
          }
        });
  }
}
