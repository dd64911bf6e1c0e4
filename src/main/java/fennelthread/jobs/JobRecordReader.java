package fennelthread.jobs;

import fennelthread.state.KeyPage;
import fennelthread.state.KeyValue;
import fennelthread.state.Keys;
import fennelthread.state.ReadResult;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Unavailability;
import fennelthread.wire.WireException;
import java.util.function.Consumer;

/**
 * Reads the records of a job from the state service if the replica does not hold the job, or holds
 * an older state of it.
 */
final class JobRecordReader {
  /** Receives the live record that was read. */
  @FunctionalInterface
  private interface LiveRecordHandler {
    void onLiveRecord(KeyValue record);
  }

  private final StateClient state;
  private final Replica replica;
  private final JobTable table;
  private final FinalRecords finalRecords;

  JobRecordReader(StateClient state, Replica replica, JobTable table, FinalRecords finalRecords) {
    this.state = state;
    this.replica = replica;
    this.table = table;
    this.finalRecords = finalRecords;
  }

  /** Reads a job's live or final record, and its finished tasks if it is live. */
  void read(String id, Consumer<LookupResult> done) {
    readLiveOrFinal(id, done, record -> readProgressOfLiveRecord(id, record, done));
  }

  /**
   * Reads the finished tasks of a job that the replica holds, then checks that it is still live.
   */
  void readProgress(String id, Consumer<LookupResult> done) {
    Job job = table.get(id);
    if (job == null) {
      read(id, done);
    } else {
      readChunks(job, null, done);
    }
  }

  /**
   * Reads the live record, then, if there is none, the final one. The order matters: a job moves
   * from its live to its final record in one transaction, so that a job found in neither was not
   * accepted yet when the live record was read.
   */
  private void readLiveOrFinal(
      String id, Consumer<LookupResult> done, LiveRecordHandler onLiveRecord) {
    state.get(
        Keys.job(id),
        live -> {
          if (live instanceof ReadResult.Unavailable) {
            done.accept(new LookupResult.Unavailable(Unavailability.UNANSWERED));
          } else if (live instanceof ReadResult.Found found) {
            onLiveRecord.onLiveRecord(found.entry());
          } else {
            finalRecords.read(id, done);
          }
        });
  }

  private void readProgressOfLiveRecord(String id, KeyValue live, Consumer<LookupResult> done) {
    try {
      Job job =
          table.get(id) != null
              ? table.get(id)
              : JobRecordCodec.decode(live.value(), live.revision());
      if (job.chunkCount() == 0) {
        done.accept(new LookupResult.Live(job));
      } else {
        readChunks(job, null, done);
      }
    } catch (WireException e) {
      done.accept(new LookupResult.Unavailable(Unavailability.UNREADABLE));
    }
  }

  private void readChunks(Job job, String afterKey, Consumer<LookupResult> done) {
    String id = job.spec().id();
    state.list(
        Keys.finishedTasksPrefix(id),
        afterKey,
        result -> {
          if (result.isEmpty()) {
            done.accept(new LookupResult.Unavailable(Unavailability.UNANSWERED));
            return;
          }
          KeyPage page = result.get();
          try {
            for (KeyValue chunk : page.items()) {
              replica.applyRead(chunk);
              job.addFinishedChunk(Keys.partNumberOf(chunk.key()), chunk.value());
            }
          } catch (WireException e) {
            done.accept(new LookupResult.Unavailable(Unavailability.UNREADABLE));
            return;
          }
          if (page.hasMore() && !page.items().isEmpty()) {
            readChunks(job, page.items().get(page.items().size() - 1).key(), done);
          } else {
            // Once a job is final its finished tasks may be removed, so the list is valid only
            // if the job is still live.
            readLiveOrFinal(id, done, record -> done.accept(new LookupResult.Live(job)));
          }
        });
  }
}
