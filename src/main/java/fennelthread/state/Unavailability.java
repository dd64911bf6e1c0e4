package fennelthread.state;

/** The reason why the state service can't serve a request now. */
public enum Unavailability {
  /** The service answers no request of this controller. */
  UNRESPONSIVE("the state service does not answer"),
  /** Too many requests are queued to be sent in time within the rate limits. */
  BUSY("too many requests wait for the state service"),
  /**
   * The request was refused: an outage of the service, a limit that all controllers together
   * exceed, or a full queue of this controller.
   */
  REFUSED("the state service refuses requests"),
  /** The request got no answer in its time. */
  UNANSWERED("the state service has not answered"),
  /**
   * No attempt at a compare-and-swap succeeded: the record had changed each time, or an attempt got
   * no answer.
   */
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

  /**
   * The reason that a transaction's result gives, for results other than {@link TxnResult.Applied}.
   */
  public static Unavailability of(TxnResult result) {
    return result instanceof TxnResult.Unknown ? UNANSWERED : REFUSED;
  }
}
