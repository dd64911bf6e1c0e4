package fennelthread.state;

/**
 * The result of a request to revoke a lease.
 *
 * @param status the HTTP status of the answer, {@link #NO_ANSWER} without one
 */
public record LeaseRevocation(int status) {
  /** The status of a request that had no answer in its time. */
  public static final int NO_ANSWER = 0;

  /** True if the lease is known to exist no longer. */
  public boolean isConfirmed() {
    return status == 200 || status == 404;
  }
}
