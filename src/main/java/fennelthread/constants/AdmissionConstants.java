package fennelthread.constants;

/** Estimates of the heap that accepted jobs take. */
public final class AdmissionConstants {
  /** Heap of a leader without jobs, connections and machines, bytes. */
  public static final long BASE_HEAP_BYTES = 8L << 20;

  /** Heap that an open connection takes in a leader with the machine at its other end, bytes. */
  public static final long CONNECTION_BYTES = 3 * 1_024;

  /** Smallest share of the heap that is for jobs, whatever else takes of a small heap. */
  public static final double MIN_JOB_HEAP_SHARE = 0.1;

  /** Heap that a waiting job takes in a leader, whatever its number of tasks, bytes. */
  public static final long WAITING_JOB_BYTES = 1_024;

  /** Heap that a dependency on another job takes, bytes. */
  public static final long DEPENDENCY_BYTES = 64;

  /** Copies of a job's texts in a leader: its own, that in the keys of its records, two indexes. */
  public static final long COPIES_OF_TEXTS = 4;

  /** Heap that a started task takes in a leader with its record, bytes. */
  public static final long STARTED_TASK_BYTES = 640;

  /** Time for which a peer that is not heard from still counts as under memory pressure, ms. */
  public static final long PEER_PRESSURE_MS = 10_000;

  private AdmissionConstants() {}
}
