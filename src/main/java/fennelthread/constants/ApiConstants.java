package fennelthread.constants;

/** Constants of the interface for users; each with its unit and its reason. */
public final class ApiConstants {
  /**
   * What submitters are asked to wait while memory is short, seconds: it takes jobs that end before
   * there is room for others.
   */
  public static final int MEMORY_SHORT_RETRY_AFTER_S = 10;

  /**
   * Longest wait of a user's request inside the service, ms: it takes up to three calls to the
   * state service, of 10 ms each as a rule and now and then of a few hundred.
   */
  public static final long ANSWER_DEADLINE_MS = 1_000;

  /** Answers of 503 are counted for so long for one line of the log, ms. */
  public static final long UNAVAILABLE_LOG_MS = 10_000;

  /** What users are asked to wait after a 503, seconds: the shortest that the protocol knows. */
  public static final int RETRY_AFTER_S = 1;

  private ApiConstants() {}
}
