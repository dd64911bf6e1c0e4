package fennelthread.constants;

/** Constants of the renewal of workers' leases by followers; each with its unit and its reason. */
public final class LeaseRenewalConstants {
  /**
   * Most commands in one answer to a worker: keeps it below the bound on bodies; the rest waits.
   */
  public static final int COMMANDS_PER_ANSWER = 400;

  /**
   * Taken off the time for which leases may be renewed without knowledge of new cancellations, ms:
   * a worker's timers, an answer under way, a user answered a moment before the record was read.
   */
  public static final long RENEWAL_MARGIN_MS = 1_200;

  /**
   * Shortest such time, ms: a replica of the state is as old as one watch is held, and one call.
   * With less than that between a lease and {@code cancel_s} a healthy leader, which knows of all
   * cancellations until about a second ago, could not answer reports; a task that is cut off then
   * outlives its cancellation, as it does without any controller. Seven seconds once lengthened the
   * answering of settings that had room for five.
   */
  public static final long MIN_RENEWAL_WINDOW_MS = 2_500;

  /**
   * How long a peer's promise lasts to abstain from answering reports in the leader's place, ms:
   * three heartbeats, and less than a worker takes that waits for a leader's answer before it turns
   * to the peer.
   */
  public static final long RENEWAL_ABSTENTION_MS = 2_500;

  /** Most cancelled jobs named in one heartbeat: keeps it below the bound on bodies. */
  public static final int CANCELLATIONS_PER_HEARTBEAT = 500;

  private LeaseRenewalConstants() {}
}
