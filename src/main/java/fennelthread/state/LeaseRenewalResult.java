package fennelthread.state;

/** The result of a request to renew a lease. */
public enum LeaseRenewalResult {
  /**
   * The lease is valid for its whole time to live, which starts at some time after the request was
   * sent.
   */
  RENEWED,
  /** The lease no longer exists: it has expired or was revoked. */
  EXPIRED,
  /** Unknown whether the lease was renewed: no answer, or a refusal. */
  UNCONFIRMED
}
