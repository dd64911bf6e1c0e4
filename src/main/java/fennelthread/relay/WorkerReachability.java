package fennelthread.relay;

import fennelthread.constants.RelayConstants;

/**
 * Whether workers' reports still reach this leader directly. Hundreds of workers report at random
 * moments, so a second without a report from any of them cannot be chance: either this leader is
 * cut off from them, or they have all failed. Only the peers can tell which. Silence before a check
 * that runs late is not counted, because the process was not receiving messages either. Used on the
 * event loop's thread only.
 */
public final class WorkerReachability {

  /** Whether the leader receives reports directly. */
  public enum Phase {
    /** Reports arrive, or too few are missing to prove that the workers are unreachable. */
    REACHABLE,
    /** More reports are missing than chance explains. */
    UNREACHABLE
  }

  private final long reportMs;
  private Phase phase = Phase.REACHABLE;
  private long lastReportAtMs;
  private long lastCheckAtMs;
  private long unreachableSinceMs = Long.MIN_VALUE / 2;
  private long reachableSinceMs = Long.MIN_VALUE / 2;
  private long probeDistrustMs = RelayConstants.MIN_DISTRUST_MS;

  /** Creates the check of workers that report about every {@code reportMs}, ms. */
  public WorkerReachability(long reportMs) {
    this.reportMs = reportMs;
  }

  /**
   * Starts a new term. The workers' silence counts only after two report intervals, because workers
   * reach a new leader with their next report at the earliest.
   */
  public void beginTerm(long nowMs) {
    lastReportAtMs = nowMs + 2 * reportMs;
    lastCheckAtMs = nowMs;
    probeDistrustMs = RelayConstants.MIN_DISTRUST_MS;
    unreachableSinceMs = Long.MIN_VALUE / 2;
    reachableSinceMs = Long.MIN_VALUE / 2;
    moveTo(Phase.REACHABLE);
  }

  /** Records a report that a worker sent to this leader directly. */
  public void onReport(long nowMs) {
    lastReportAtMs = Math.max(lastReportAtMs, nowMs);
    becomeReachable(nowMs);
  }

  /**
   * Records that a worker answered a direct probe, which shows that the network works both ways.
   * For some time after the workers became unreachable such answers are ignored, because a network
   * that passes probes may still lose the workers' own requests. That time grows if the workers
   * soon become unreachable again.
   */
  public void onProbeAnswered(long nowMs) {
    if (phase == Phase.UNREACHABLE && nowMs - unreachableSinceMs >= probeDistrustMs) {
      lastReportAtMs = Math.max(lastReportAtMs, nowMs);
      becomeReachable(nowMs);
    }
  }

  private void becomeReachable(long nowMs) {
    if (phase == Phase.UNREACHABLE) {
      reachableSinceMs = nowMs;
      moveTo(Phase.REACHABLE);
    }
  }

  /**
   * Checks whether too many reports are missing; to be called every {@link
   * RelayConstants#CHECK_INTERVAL_MS}.
   *
   * @param workers the number of workers that report to this leader, directly or through peers
   * @return true if the workers have just become unreachable
   */
  public boolean check(long nowMs, int workers) {
    boolean isCheckLate = nowMs - lastCheckAtMs > 2 * RelayConstants.CHECK_INTERVAL_MS;
    lastCheckAtMs = nowMs;
    if (isCheckLate) {
      lastReportAtMs = Math.max(lastReportAtMs, nowMs);
    }
    if (phase == Phase.UNREACHABLE) {
      return false;
    }
    long silentMs = nowMs - lastReportAtMs;
    double missingReports = (double) workers * silentMs / reportMs;
    boolean allWorkersMissed =
        workers >= RelayConstants.MIN_SILENT_WORKERS
            && silentMs > reportMs * RelayConstants.UNREACHABLE_REPORT_INTERVALS;
    if (silentMs < RelayConstants.MIN_UNREACHABLE_SILENCE_MS
        || (missingReports < RelayConstants.MIN_MISSING_REPORTS && !allWorkersMissed)) {
      return false;
    }
    // If reports go missing again soon after a recovery, probe answers are distrusted for longer.
    probeDistrustMs =
        nowMs - reachableSinceMs < RelayConstants.RECURRENCE_WINDOW_MS
            ? Math.min(RelayConstants.MAX_DISTRUST_MS, probeDistrustMs * 2)
            : RelayConstants.MIN_DISTRUST_MS;
    unreachableSinceMs = nowMs;
    moveTo(Phase.UNREACHABLE);
    return true;
  }

  /** True if workers' reports do not reach this leader directly at the moment. */
  public boolean areWorkersUnreachable() {
    return phase == Phase.UNREACHABLE;
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next) {
    phase = next;
  }
}
