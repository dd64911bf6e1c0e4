package fennelthread.constants;

/** Constants of jobs, their records and their acceptance; each with its unit and its reason. */
public final class JobConstants {
  /** How often a transaction that someone waits for is sent, times, if its answers stay away. */
  public static final int ANSWER_TRIES = 4;

  /** Bytes of a transaction beside each value: the key, its conditions, punctuation. */
  public static final int TXN_BYTES_PER_CHANGE = 200;

  /** Reads of final records of needed jobs under way at once: each is one request. */
  public static final int END_READS_AT_ONCE = 4;

  /** Pause before a final record that could not be read, or was not there, is read again, ms. */
  public static final long END_READ_PAUSE_MS = 1_000;

  /** Bytes of the names and brackets around a list of needs, and of the count of its parts. */
  public static final int DEPENDENCIES_FIELD_BYTES = 64;

  /** Bytes of one range of finished tasks: two numbers of up to three digits, two commas. */
  public static final int RANGE_BYTES = 8;

  /** How many tasks share one key of finished tasks: bounds the value at about 2 KB of ranges. */
  public static final int TASKS_PER_CHUNK = 256;

  /** Bytes beside the texts and numbers of a job or a start in a round record: punctuation. */
  public static final int RECORD_BYTES_PER_ENTRY = 12;

  /** Kept final answers in memory, entries; older ones are read from the state service. */
  public static final int FINAL_CACHE = 20_000;

  /** How many submissions may wait for a transaction: the next ones are told to come back. */
  public static final int ACCEPT_QUEUE = 200;

  /** Acceptances under way at once: one that takes long must not hold up the others. */
  public static final int ACCEPTS_AT_ONCE = 3;

  /** Confirmations under way at once; more share a transaction instead. */
  public static final int CONFIRMS_AT_ONCE = 2;

  /** How often a change of a job that met another one is tried again, times. */
  public static final int JOB_TRIES = 4;

  /** The changes of a job's end: its live record goes, its final record comes. */
  public static final int CHANGES_PER_END = 2;

  /** Longest text of an attempt number, bytes: 64 bits in decimal. */
  public static final int LONGEST_ATTEMPT = 20;

  private JobConstants() {}
}
