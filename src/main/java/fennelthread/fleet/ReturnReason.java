package fennelthread.fleet;

/** Why a machine is returned to the cloud. */
enum ReturnReason {
  /** The machine is not returned. */
  NONE("none"),
  /** It has not come up in the time in which others of its type did. */
  BOOT_TIMEOUT("bootTimeout"),
  /** It has tasks, but neither reports nor answers probes. */
  SILENT("silent"),
  /** It carries out commands, but none of its own reports arrives. */
  REPORTS_LOST("reportsLost"),
  /** Its lease has expired and it stays silent. */
  LEASE_EXPIRED("leaseExpired"),
  /** The cloud lists it as failed. */
  FAILED("failed"),
  /** Its spot interruption notice has run out and it is silent since. */
  INTERRUPTED("interrupted"),
  /** It is cordoned and nothing is on it. */
  CORDONED("cordoned"),
  /** Nothing has been on it for long. */
  IDLE("idle"),
  /** Its leases expire again and again: answers do not reach it. */
  LOSING_LEASES("losingLeases");

  private final String logValue;

  ReturnReason(String logValue) {
    this.logValue = logValue;
  }

  /** Returns the reason as log lines show it. */
  String logValue() {
    return logValue;
  }
}
