package fennelthread.fleet;

/** Why a machine is returned to the cloud. */
enum ReturnReason {
  /** The machine is not returned. */
  NONE("none"),
  /** It has not come up within its boot timeout, or while others of its type did. */
  BOOT_TIMEOUT("bootTimeout"),
  /** It may have tasks, and neither reports nor answers probes. */
  SILENT("silent"),
  /** It may execute commands, but none of its own reports arrives. */
  REPORTS_LOST("reportsLost"),
  /** Its lease has expired and it stays silent. */
  LEASE_EXPIRED("leaseExpired"),
  /** The cloud lists it as failed. */
  FAILED("failed"),
  /** Its spot interruption notice has expired, and it no longer reports. */
  INTERRUPTED("interrupted"),
  /** It is cordoned, and no task is on it. */
  CORDONED("cordoned"),
  /** No task has been on it for long. */
  IDLE("idle"),
  /** Its leases expire repeatedly, since answers do not reach it. */
  LOSING_LEASES("losingLeases");

  private final String logValue;

  ReturnReason(String logValue) {
    this.logValue = logValue;
  }

  /** Returns the reason as it is written to the log. */
  String logValue() {
    return logValue;
  }
}
