package fennelthread.jobs;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import fennelthread.constants.JobConstants;
import fennelthread.state.Keys;
import fennelthread.state.ReadResult;
import fennelthread.state.StateClient;
import fennelthread.state.Unavailability;
import fennelthread.wire.JobState;
import fennelthread.wire.WireException;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The final records of jobs, kept in the state service for ever and here in a bounded cache. A
 * final record never changes, so that a cached one is as good as one just read.
 */
final class FinalRecords {
  /** Receives each final record that was read or written here. */
  @FunctionalInterface
  interface Listener {
    /** Called for each record, possibly several times for one job. */
    void onFinalRecord(String jobId, FinalRecord record);
  }

  private final StateClient state;
  private final CancellationListener cancellationListener;
  private final Cache<String, FinalRecord> cache =
      Caffeine.newBuilder()
          .maximumSize(JobConstants.FINAL_CACHE_ENTRIES)
          .executor(Runnable::run)
          .build();
  private Listener listener = (id, record) -> {};

  FinalRecords(StateClient state, CancellationListener cancellationListener) {
    this.state = state;
    this.cancellationListener = cancellationListener;
  }

  /** Sets the listener; there is one. */
  void setListener(Listener listener) {
    this.listener = listener;
  }

  /** A job's final record if it is in the cache. */
  Optional<FinalRecord> cached(String id) {
    return Optional.ofNullable(cache.getIfPresent(id));
  }

  /** Empties the cache to free memory: its records can be read again. */
  void evictAll() {
    cache.invalidateAll();
  }

  /** How many records are in the cache, about. */
  long size() {
    return cache.estimatedSize();
  }

  /** Adds a record that was read or written here: the one place where records become known. */
  void add(String id, FinalRecord record) {
    cache.put(id, record);
    if (record.state() == JobState.CANCELLED) {
      cancellationListener.onJobCancelled(id);
    }
    listener.onFinalRecord(id, record);
  }

  /** Reads a job's final record from the state service. */
  void read(String id, Consumer<LookupResult> done) {
    state.get(
        Keys.finalJob(id),
        result -> {
          if (result instanceof ReadResult.Unavailable) {
            done.accept(new LookupResult.Unavailable(Unavailability.UNANSWERED));
          } else if (result instanceof ReadResult.Found found) {
            try {
              FinalRecord record = FinalRecord.decode(found.entry().value());
              add(id, record);
              done.accept(record);
            } catch (WireException e) {
              done.accept(new LookupResult.Unavailable(Unavailability.UNREADABLE));
            }
          } else {
            done.accept(new LookupResult.Unknown());
          }
        });
  }
}
