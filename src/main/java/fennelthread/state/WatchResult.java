package fennelthread.state;

import java.util.List;

/** The result of one long poll for changes. */
sealed interface WatchResult {
  /** The changes, oldest first, up to {@code revision}; none if the poll ended without any. */
  record Changes(List<KeyChange> changes, long revision) implements WatchResult {}

  /**
   * The store has compacted the changes after the requested revision: all keys must be read again.
   */
  record Compacted() implements WatchResult {}

  /** Nothing is known: no answer, an answer that can't be read, or a refusal. */
  record Unavailable() implements WatchResult {}
}
