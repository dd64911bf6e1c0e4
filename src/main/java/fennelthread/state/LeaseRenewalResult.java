package fennelthread.state;

/** The result of a request to renew a lease. */
public enum LeaseRenewalResult {
  /** The lease runs on for its whole time to live, counted from after the request was sent. */
  RENEWED,
  /** The lease no longer exists: it has expired or was revoked. */
  EXPIRED,
  /** Not known: no answer, or a refusal. */
  UNCONFIRMED
}
