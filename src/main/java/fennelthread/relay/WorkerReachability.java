package fennelthread.relay;

import fennelthread.constants.RelayConstants;

/**
 * Whether a leader still hears its workers by itself. Hundreds of workers report at random moments,
 * so that a second without a word from any of them is no chance: either we are cut off from them,
 * or they are all gone, and which of the two, others have to say. Silence tells nothing while our
 * own timers run late, since then we were not listening.
 */
public final class WorkerReachability {

  /** What the leader can say of its ears. */
  public enum Phase {
    /** Reports come in, or too few are due to tell. */
    REACHABLE,
    /** So many reports are missing that it can't be chance. */
    UNREACHABLE
  }

  private final long reportMs;
  private Phase phase = Phase.REACHABLE;
  private long heardAtMs;
  private long lookedAtMs;
  private long deafAtMs = Long.MIN_VALUE / 2;
  private long backAtMs = Long.MIN_VALUE / 2;
  private long patienceMs = RelayConstants.MIN_DISTRUST_MS;

  /** Creates it; workers report every {@code reportMs}, ms, more or less. */
  public WorkerReachability(long reportMs) {
    this.reportMs = reportMs;
  }

  /** A term begins: workers need until after the next report to come over. */
  public void beginTerm(long nowMs) {
    heardAtMs = nowMs + 2 * reportMs;
    lookedAtMs = nowMs;
    patienceMs = RelayConstants.MIN_DISTRUST_MS;
    deafAtMs = Long.MIN_VALUE / 2;
    backAtMs = Long.MIN_VALUE / 2;
    moveTo(Phase.REACHABLE);
  }

  /** A worker's own report came in. */
  public void onReport(long nowMs) {
    heardAtMs = Math.max(heardAtMs, nowMs);
    back(nowMs);
  }

  /** A worker answered a question that was put to it directly: the way there and back is open. */
  public void onProbeAnswered(long nowMs) {
    if (phase == Phase.UNREACHABLE && nowMs - deafAtMs >= patienceMs) {
      heardAtMs = Math.max(heardAtMs, nowMs);
      back(nowMs);
    }
  }

  private void back(long nowMs) {
    if (phase == Phase.UNREACHABLE) {
      backAtMs = nowMs;
      moveTo(Phase.REACHABLE);
    }
  }

  /**
   * Looks again; to be called every {@link RelayConstants#CHECK_INTERVAL_MS}.
   *
   * @param workers how many workers report to this leader, by whatever way
   * @return true if the phase has changed
   */
  public boolean check(long nowMs, int workers) {
    boolean late = nowMs - lookedAtMs > 2 * RelayConstants.CHECK_INTERVAL_MS;
    lookedAtMs = nowMs;
    if (late) {
      heardAtMs = Math.max(heardAtMs, nowMs);
    }
    if (phase == Phase.UNREACHABLE) {
      return false;
    }
    long silentMs = nowMs - heardAtMs;
    double due = (double) workers * silentMs / reportMs;
    boolean allMissed =
        workers >= RelayConstants.MIN_SILENT_WORKERS
            && silentMs > reportMs * RelayConstants.UNREACHABLE_REPORT_INTERVALS;
    if (silentMs < RelayConstants.MIN_UNREACHABLE_SILENCE_MS
        || (due < RelayConstants.MIN_MISSING_REPORTS && !allMissed)) {
      return false;
    }
    // Ears that close again soon after they opened are believed later the next time.
    patienceMs =
        nowMs - backAtMs < RelayConstants.RECURRENCE_WINDOW_MS
            ? Math.min(RelayConstants.MAX_DISTRUST_MS, patienceMs * 2)
            : RelayConstants.MIN_DISTRUST_MS;
    deafAtMs = nowMs;
    moveTo(Phase.UNREACHABLE);
    return true;
  }

  /** True if our own ears are of no use at the moment. */
  public boolean areWorkersUnreachable() {
    return phase == Phase.UNREACHABLE;
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next) {
    phase = next;
  }
}
