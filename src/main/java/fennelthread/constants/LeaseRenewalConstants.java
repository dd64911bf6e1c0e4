package fennelthread.constants;

/** Constants of the renewal of workers' leases by followers; each with its unit and its reason. */
public final class LeaseRenewalConstants {
  /** Most orders in one answer to a worker: keeps it below the bound on bodies; more come later. */
  public static final int ORDERS_PER_ANSWER = 400;

  /**
   * Taken off the time for which leases may be kept alive without knowing what users are told, ms:
   * a worker's timers, an answer under way, a user told a moment before the record was read.
   */
  public static final long KEEP_MARGIN_MS = 1_200;

  /**
   * Least such time, ms: a copy of the state is as old as one watch is held, and one call. With
   * less than that between a lease and {@code cancel_s} a healthy leader, which knows everything
   * until about a second ago, could not answer reports; a task that is cut off then outlives its
   * cancellation, as it does without any controller. Seven seconds once lengthened the answering of
   * settings that had room for five.
   */
  public static final long KEEP_LEAST_MS = 2_500;

  /**
   * How long a peer's promise lasts not to answer reports in the leader's place, ms: three
   * heartbeats, and less than a worker takes that waits for a leader's answer before it comes to
   * the peer.
   */
  public static final long KEEP_STILL_MS = 2_500;

  /** Most cancelled jobs named in one heartbeat: keeps it below the bound on bodies. */
  public static final int CANCELLED_PER_HEARTBEAT = 500;

  private LeaseRenewalConstants() {}
}
