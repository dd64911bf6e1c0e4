package fennelthread.state;

/** The result of a request for a new lease. */
public sealed interface LeaseGrant {
  /** The service has granted a lease with this id. */
  record Granted(long leaseId) implements LeaseGrant {}

  /** No lease is known to be granted. If one was and the answer got lost, it expires by itself. */
  record Failed() implements LeaseGrant {}
}
