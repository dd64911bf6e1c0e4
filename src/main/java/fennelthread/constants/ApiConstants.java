package fennelthread.constants;

/** The HTTP interface for users: deadlines and {@code Retry-After} values. */
public final class ApiConstants {
  /**
   * {@code Retry-After} of a submission refused while memory is short, seconds: memory for a new
   * job becomes free only as other jobs end.
   */
  public static final int MEMORY_SHORT_RETRY_AFTER_S = 10;

  /**
   * Longest time until a user's request is answered, ms. A request takes up to three calls to the
   * state service, which take about 10 ms each and occasionally a few hundred.
   */
  public static final long ANSWER_DEADLINE_MS = 1_000;

  /** Period over which answers with status 503 are counted for one log line, ms. */
  public static final long UNAVAILABLE_LOG_MS = 10_000;

  /**
   * {@code Retry-After} of other answers with status 503, seconds: the shortest that the protocol
   * allows.
   */
  public static final int RETRY_AFTER_S = 1;

  private ApiConstants() {}
}
