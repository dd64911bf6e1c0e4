package fennelthread.constants;

/** Renewal of workers' leases by followers. */
public final class LeaseRenewalConstants {
  /**
   * Number of commands in one answer to a worker beyond which only starts are added: keeps it below
   * the bound on bodies; the rest is sent later.
   */
  public static final int COMMANDS_PER_ANSWER = 400;

  /**
   * Taken off the time for which leases may be renewed without knowledge of new cancellations, ms:
   * covers a worker's timers, an answer in flight, and a cancellation that was confirmed just
   * before its record was read.
   */
  public static final long RENEWAL_MARGIN_MS = 1_200;

  /**
   * Shortest such time, ms. A replica of the state is as old as one held watch and one call. If
   * {@code cancel_s} exceeds {@code lease_s} by less than that, a healthy leader, which knows all
   * cancellations until about a second ago, could not answer reports without this minimum; with it
   * a task that is cut off may run beyond {@code cancel_s}, as it does when no controller runs. A
   * minimum of seven seconds would also extend the time under settings that allow five.
   */
  public static final long MIN_RENEWAL_WINDOW_MS = 2_500;

  /**
   * Duration of a peer's promise not to answer reports in the leader's place, ms: three heartbeats,
   * and shorter than the time that a worker waits for the leader's answer before it turns to the
   * peer.
   */
  public static final long RENEWAL_ABSTENTION_MS = 2_500;

  /** Most cancelled jobs named in one heartbeat: keeps it below the bound on bodies. */
  public static final int CANCELLATIONS_PER_HEARTBEAT = 500;

  private LeaseRenewalConstants() {}
}
