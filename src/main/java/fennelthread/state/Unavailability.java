package fennelthread.state;

/** The reason why the state service can't serve a request now. */
public enum Unavailability {
  /** The service answers no request of this controller. */
  UNRESPONSIVE("the state service does not answer"),
  /** Too many requests are queued within the rate limits. */
  BUSY("too many requests wait for the state service"),
  /** The service refused the request: an outage, or a limit that all controllers exceed. */
  REFUSED("the state service refuses requests"),
  /** The request got no answer in its time. */
  UNANSWERED("the state service has not answered"),
  /** Each attempt at a compare-and-swap met a change by others. */
  CONTENDED("the job changes too often"),
  /** The stored record can't be decoded. */
  UNREADABLE("the job's record can't be read");

  private final String text;

  Unavailability(String text) {
    this.text = text;
  }

  /** The reason in words, for users. */
  public String text() {
    return text;
  }

  /** The reason why a transaction with this result, other than applied, was not carried out. */
  public static Unavailability of(TxnResult result) {
    return result instanceof TxnResult.Unknown ? UNANSWERED : REFUSED;
  }
}
