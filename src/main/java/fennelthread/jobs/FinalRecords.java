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
 * Reads the final records of jobs from the state service and caches a bounded number of them. A
 * final record never changes, so that a cached one is always current.
 */
final class FinalRecords {
  /** Receives each final record that this controller has read or written. */
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

  /** Sets the only listener. */
  void setListener(Listener listener) {
    this.listener = listener;
  }

  /** A job's final record if it is in the cache. */
  Optional<FinalRecord> cached(String id) {
    return Optional.ofNullable(cache.getIfPresent(id));
  }

  /** Empties the cache to free memory; its records can be read again. */
  void evictAll() {
    cache.invalidateAll();
  }

  /** The approximate number of records in the cache. */
  long size() {
    return cache.estimatedSize();
  }

  /**
   * Adds a record that this controller has read or written. Every record passes through here, so
   * that the cancellation listener runs before any user learns of a cancellation.
   */
  void add(String id, FinalRecord record) {
    cache.put(id, record);
    if (record.state() == JobState.CANCELLED) {
      cancellationListener.onJobCancelled(id);
    }
    listener.onFinalRecord(id, record);
  }

  /**
   * Reads a job's final record from the state service; the result is the record, {@code Unknown} if
   * there is none, or {@code Unavailable}.
   */
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
