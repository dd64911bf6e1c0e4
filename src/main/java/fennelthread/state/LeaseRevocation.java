package fennelthread.state;

import fennelthread.constants.StateConstants;

/**
 * The result of a request to revoke a lease.
 *
 * @param status the HTTP status of the answer, {@link StateConstants#NO_ANSWER_STATUS} without one
 */
public record LeaseRevocation(int status) {
  /** True if the lease is known to exist no longer. */
  public boolean isConfirmed() {
    return status == 200 || status == 404;
  }
}
