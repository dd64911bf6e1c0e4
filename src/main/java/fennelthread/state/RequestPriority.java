package fennelthread.state;

/**
 * The priority of a request to the state service, most urgent first. While requests exceed the rate
 * limits it decides the order in which they are sent. Requests about leases have no priority, since
 * they bypass the queue.
 */
public enum RequestPriority {
  /** Requests that a user waits for, all reads and watches, and writes about leadership. */
  INTERACTIVE(0),
  /**
   * Start records of scheduling rounds, which tasks wait for, and final records that no user waits
   * for.
   */
  SCHEDULING(1),
  /** Records of finished tasks, and removals of records that are no longer needed. */
  MAINTENANCE(2);

  private final int rank;

  RequestPriority(int rank) {
    this.rank = rank;
  }

  /** The number of priorities that are more urgent than this one. */
  int rank() {
    return rank;
  }
}
