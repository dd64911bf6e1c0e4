package fennelthread.constants;

/** Jobs, their records and their acceptance. */
public final class JobConstants {
  /** Most times that a request for a waiting user is sent if it is not answered. */
  public static final int MAX_SENDS = 4;

  /** Bytes of a transaction beside each value: the key, its conditions and punctuation. */
  public static final int TXN_BYTES_PER_CHANGE = 200;

  /** Reads of final records of dependencies in flight at once; each is one request. */
  public static final int MAX_CONCURRENT_FINAL_READS = 4;

  /** The same while users wait for answers that depend on these records. */
  public static final int MAX_CONCURRENT_URGENT_FINAL_READS = 16;

  /**
   * How old the knowledge of a job's dependencies may be when a user is answered, ms. A user who
   * was told of a cancellation expects that dependent jobs are cancelled within {@code cancel_s},
   * many times as long.
   */
  public static final long MAX_DEPENDENCY_AGE_MS = 1_000;

  /** Most lookups of a job for one answer, if the job becomes final between two steps of one. */
  public static final int MAX_LOOKUPS = 2;

  /** Delay before a final record that could not be read, or did not exist, is read again, ms. */
  public static final long FINAL_READ_RETRY_MS = 1_000;

  /** Bytes of the field names and brackets around a list of dependencies and its part count. */
  public static final int DEPENDENCIES_FIELD_BYTES = 64;

  /** Bytes beside each id in a list of dependencies: two quotation marks and a comma. */
  public static final int BYTES_AROUND_ID = 3;

  /** Bytes of one range of finished tasks: two numbers of up to three digits and two commas. */
  public static final int RANGE_BYTES = 8;

  /** Tasks that share one key of finished tasks: bounds the value at about 2 KB of ranges. */
  public static final int TASKS_PER_CHUNK = 256;

  /**
   * Most jobs whose finished tasks are held before the job itself has arrived. Beyond it all are
   * dropped, which bounds the memory for jobs that never arrive.
   */
  public static final int MAX_JOBS_WITH_EARLY_CHUNKS = 10_000;

  /** Bytes of punctuation beside the texts and numbers of a job or a start in a start record. */
  public static final int RECORD_BYTES_PER_ENTRY = 12;

  /**
   * Number of values at the head of a job's list in a start record: id, team, CPUs, GPUs (cards),
   * memory.
   */
  public static final int START_RECORD_HEAD_VALUES = 5;

  /**
   * Number of values of each start in a job's list in a start record: task, attempt, machine,
   * session.
   */
  public static final int VALUES_PER_START = 4;

  /** Most bytes of one character of a team's name in a start record: it may be escaped. */
  public static final int MAX_BYTES_PER_CHARACTER = 6;

  /** Most final records cached in memory; older ones are read from the state service. */
  public static final int FINAL_CACHE_ENTRIES = 20_000;

  /** Most submissions that wait for a transaction; further ones are refused for a while. */
  public static final int MAX_QUEUED_SUBMISSIONS = 200;

  /** Transactions of submissions in flight at once: a slow one must not delay the others. */
  public static final int MAX_CONCURRENT_ACCEPTS = 3;

  /**
   * Most transactions in flight at once that confirm queries; further queries share the next one.
   */
  public static final int MAX_CONCURRENT_CONFIRMS = 2;

  /** Most attempts at a cancellation that conflicts with other changes of its job. */
  public static final int MAX_CANCEL_TRIES = 4;

  /**
   * Number of changes that make a job final: its live record is removed, its final record written.
   */
  public static final int CHANGES_PER_FINAL_RECORD = 2;

  /** Longest text of an attempt number, bytes: 64 bits in decimal. */
  public static final int MAX_ATTEMPT_BYTES = 20;

  private JobConstants() {}
}
