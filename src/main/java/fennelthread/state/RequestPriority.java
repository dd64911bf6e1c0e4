package fennelthread.state;

/**
 * The priority lane of a request to the state service, most urgent first. It decides the order in
 * which requests are sent while they exceed the rate limits. Requests about leases have no priority
 * since they bypass the queue.
 */
public enum RequestPriority {
  /** A user waits for the answer, or a replica of the state that answers are confirmed against. */
  INTERACTIVE(0),
  /** Start records of scheduling rounds: tasks wait for them. */
  SCHEDULING(1),
  /** Records of finished tasks and removals of records that are no longer needed. */
  MAINTENANCE(2);

  private final int rank;

  RequestPriority(int rank) {
    this.rank = rank;
  }

  /** The number of lanes that are more urgent than this one. */
  int rank() {
    return rank;
  }
}
