package fennelthread.constants;

/** Constants of jobs, their records and their acceptance; each with its unit and its reason. */
public final class JobConstants {
  /** How often a request that a user waits for is sent, times, if its answers stay away. */
  public static final int MAX_SENDS = 4;

  /** Bytes of a transaction beside each value: the key, its conditions, punctuation. */
  public static final int TXN_BYTES_PER_CHANGE = 200;

  /** Reads of final records of dependencies in flight at once: each is one request. */
  public static final int MAX_CONCURRENT_FINAL_READS = 4;

  /** Pause before a final record that could not be read, or was not there, is read again, ms. */
  public static final long FINAL_READ_RETRY_MS = 1_000;

  /** Bytes of the names and brackets around a list of dependencies, and of their part count. */
  public static final int DEPENDENCIES_FIELD_BYTES = 64;

  /** Bytes beside each id in a list of dependencies: two quotation marks, a comma. */
  public static final int BYTES_AROUND_ID = 3;

  /** Bytes of one range of finished tasks: two numbers of up to three digits, two commas. */
  public static final int RANGE_BYTES = 8;

  /** How many tasks share one key of finished tasks: bounds the value at about 2 KB of ranges. */
  public static final int TASKS_PER_CHUNK = 256;

  /**
   * Jobs whose finished tasks are held although the job itself has not arrived, at most: beyond it
   * all are dropped, which bounds the memory for jobs that never arrive.
   */
  public static final int MAX_JOBS_WITH_EARLY_CHUNKS = 10_000;

  /** Bytes beside the texts and numbers of a job or a start in a start record: punctuation. */
  public static final int RECORD_BYTES_PER_ENTRY = 12;

  /** Values at the head of a job's list in a start record: id, team, CPUs, cards, memory. */
  public static final int START_RECORD_HEAD_VALUES = 5;

  /** Values of each start in a job's list in a start record: task, attempt, machine, session. */
  public static final int VALUES_PER_START = 4;

  /** Bytes of one character of a team's name in a start record, at most: it may be escaped. */
  public static final int MAX_BYTES_PER_CHARACTER = 6;

  /** Final records cached in memory, entries; older ones are read from the state service. */
  public static final int FINAL_CACHE_ENTRIES = 20_000;

  /** How many submissions may wait for a transaction: further ones are refused for a while. */
  public static final int MAX_QUEUED_SUBMISSIONS = 200;

  /** Transactions of submissions in flight at once: a slow one must not hold up the others. */
  public static final int MAX_CONCURRENT_ACCEPTS = 3;

  /** Transactions that confirm queries in flight at once; further queries share the next one. */
  public static final int MAX_CONCURRENT_CONFIRMS = 2;

  /** How often a cancellation that met another change of its job is tried, times. */
  public static final int MAX_CANCEL_TRIES = 4;

  /** The changes that make a job final: its live record is removed, its final record written. */
  public static final int CHANGES_PER_FINAL_RECORD = 2;

  /** Longest text of an attempt number, bytes: 64 bits in decimal. */
  public static final int MAX_ATTEMPT_BYTES = 20;

  private JobConstants() {}
}
