package fennelthread.state;

/** Why the state service can't tell something now. */
public enum Unavailability {
  /** It gives no answer to anyone here. */
  SILENT("the state service does not answer"),
  /** Too many requests wait for their turn within its limits. */
  BUSY("too many requests wait for the state service"),
  /** It refused the request: an outage, or a limit that all controllers together exceed. */
  REFUSED("the state service refuses requests"),
  /** This request got no answer in its time. */
  UNANSWERED("the state service has not answered"),
  /** The job was changed by others each time it was tried. */
  CONTENDED("the job changes too often"),
  /** What is stored can't be read. */
  UNREADABLE("the job's record can't be read");

  private final String text;

  Unavailability(String text) {
    this.text = text;
  }

  /** The reason in words, for users. */
  public String text() {
    return text;
  }

  /** The reason that lies in a transaction's result. */
  public static Unavailability of(TxnResult result) {
    return result instanceof TxnResult.Unknown ? UNANSWERED : REFUSED;
  }
}
