package fennelthread.constants;

/** Constants of the interface for users; each with its unit and its reason. */
public final class ApiConstants {
  /** What submitters are told to wait while the heap is tight, seconds: it takes jobs that end. */
  public static final int HEAP_RETRY_S = 10;

  /**
   * Longest wait of a user's request inside the service, ms: it takes up to three calls to the
   * state service, of 10 ms each as a rule and now and then of a few hundred.
   */
  public static final long ANSWER_MS = 1_000;

  /** Users told to come back are counted for so long for one line of the log, ms. */
  public static final long REFUSALS_LOG_MS = 10_000;

  /** What users are told to wait after a refusal, seconds: the shortest the protocol knows. */
  public static final int RETRY_AFTER_S = 1;

  private ApiConstants() {}
}
