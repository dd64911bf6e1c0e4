package fennelthread.jobs;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import fennelthread.constants.JobConstants;
import fennelthread.state.Keys;
import fennelthread.state.StateClient;
import fennelthread.state.Unavailability;
import fennelthread.wire.JobState;
import fennelthread.wire.WireException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The final records of jobs, kept in the state service for ever and here in a bounded cache. A
 * final record never changes, so that one in the cache is as good as one just read.
 */
final class FinalRecords {
  private final StateClient state;
  private final Consumer<String> onCancelled;
  private final Cache<String, FinalRecord> cache =
      Caffeine.newBuilder().maximumSize(JobConstants.FINAL_CACHE).executor(Runnable::run).build();
  private BiConsumer<String, FinalRecord> listener = (id, end) -> {};

  /**
   * Creates an empty cache; {@code onCancelled} is told of each job before any user is told that it
   * is cancelled.
   */
  FinalRecords(StateClient state, Consumer<String> onCancelled) {
    this.state = state;
    this.onCancelled = onCancelled;
  }

  /** Sets who is told of each final record that becomes known. */
  void listen(BiConsumer<String, FinalRecord> learned) {
    listener = learned;
  }

  /** A job's final state if it is known here, or null. */
  FinalRecord known(String id) {
    return cache.getIfPresent(id);
  }

  /** Gives up what can be read again. */
  void shed() {
    cache.invalidateAll();
  }

  /** How many are held. */
  long size() {
    return cache.estimatedSize();
  }

  /** Takes note of a final record: the one place where it becomes known here. */
  void learn(String id, FinalRecord end) {
    cache.put(id, end);
    if (end.state() == JobState.CANCELLED) {
      onCancelled.accept(id);
    }
    listener.accept(id, end);
  }

  /** Reads a final record from the state service. */
  void read(String id, Consumer<LookupResult> done) {
    state.get(
        Keys.finalJob(id),
        last -> {
          if (last == null) {
            done.accept(new LookupResult.Unavailable(Unavailability.UNANSWERED));
          } else if (last.value() == null) {
            done.accept(new LookupResult.Unknown());
          } else {
            try {
              FinalRecord end = FinalRecord.read(last.value());
              learn(id, end);
              done.accept(end);
            } catch (WireException e) {
              done.accept(new LookupResult.Unavailable(Unavailability.UNREADABLE));
            }
          }
        });
  }
}
