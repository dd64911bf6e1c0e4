package fennelthread.state;

/** The result of reading one key. */
public sealed interface ReadResult {
  /** The key exists. */
  record Found(KeyValue entry) implements ReadResult {}

  /** The key did not exist when the store had reached {@code storeRevision}. */
  record Absent(long storeRevision) implements ReadResult {}

  /** Nothing is known: no answer, an answer that can't be read, or a refusal. */
  record Unavailable() implements ReadResult {}
}
