package fennelthread.relay;

import fennelthread.constants.RelayConstants;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.RequestPriority;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A follower's notice in the state service, written while the leader is silent on the peer network:
 * it says that workers of this leader report to the follower. A leader that receives no reports
 * itself learns from it that it is cut off from its workers, and that they have not failed. Used on
 * the event loop's thread only.
 */
public final class UnreachableLeaderNotice {
  private static final Logger log = LoggerFactory.getLogger(UnreachableLeaderNotice.class);

  private final EventLoop eventLoop;
  private final StateClient state;
  private final String member;
  private final Runnable onPeerNotice;
  private final Map<String, Long> reportAtMsByWorker = new LinkedHashMap<>();
  private long publishedAtMs = Long.MIN_VALUE / 2;
  private long peerNoticeAtMs = Long.MIN_VALUE / 2;
  private long peerNoticeEpoch = -1;
  private boolean isPublishing;

  /**
   * Creates the notice of one member.
   *
   * @param onPeerNotice called after a peer's notice was read
   */
  public UnreachableLeaderNotice(
      EventLoop eventLoop,
      StateClient state,
      Replica replica,
      String member,
      Runnable onPeerNotice) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.member = member;
    this.onPeerNotice = onPeerNotice;
    replica.addListener((key, value, revision) -> onRecordChanged(key, value));
  }

  /** Records that a worker whose fencing token is of the leader's epoch reported here. */
  public void recordWorkerReport(String machine) {
    reportAtMsByWorker.put(machine, eventLoop.nowMs());
  }

  /**
   * Forgets the workers that reported here; for when no peer leads, or the leader is not silent.
   */
  public void forgetWorkers() {
    reportAtMsByWorker.clear();
  }

  /**
   * Writes the notice if enough workers of the silent leader have reported here lately, unless a
   * notice is being written or was written too recently.
   *
   * @param epoch the epoch of the leader
   * @param knownWorkers the number of workers that this controller knows of
   */
  public void publishIfDue(long epoch, int knownWorkers) {
    long nowMs = eventLoop.nowMs();
    reportAtMsByWorker
        .values()
        .removeIf(reportAtMs -> nowMs - reportAtMs > RelayConstants.NOTICE_VALIDITY_MS);
    if (isPublishing
        || reportAtMsByWorker.size()
            < Math.max(
                RelayConstants.MIN_NOTICE_WORKERS,
                knownWorkers * RelayConstants.MIN_NOTICE_WORKER_SHARE)
        || nowMs - publishedAtMs < RelayConstants.MIN_NOTICE_INTERVAL_MS) {
      return;
    }
    isPublishing = true;
    publishedAtMs = nowMs;
    log.info(
        "workers of unreachable leader report to this controller epoch={} workers={}",
        epoch,
        reportAtMsByWorker.size());
    state.submitTxn(
        RequestPriority.INTERACTIVE,
        // Unconditional: the notice is a hint, and names the epoch that it is about.
        new Txn()
            .write(
                Keys.unreachableLeader(member),
                Fields.create()
                    .with("epoch", epoch)
                    .with("workers", (long) reportAtMsByWorker.size())),
        result -> isPublishing = false);
  }

  private void onRecordChanged(String key, Fields value) {
    if (value == null
        || !key.startsWith(Keys.UNREACHABLE_LEADER_PREFIX)
        || key.equals(Keys.unreachableLeader(member))) {
      return;
    }
    try {
      peerNoticeEpoch = value.count("epoch");
      peerNoticeAtMs = eventLoop.nowMs();
      onPeerNotice.run();
    } catch (WireException e) {
      log.error("record unreadable key={} reason={}", key, e.getMessage());
    }
  }

  /** True if a peer's notice about the leader of this epoch was read lately. */
  public boolean hasFreshNotice(long epoch) {
    return peerNoticeEpoch == epoch
        && eventLoop.nowMs() - peerNoticeAtMs < RelayConstants.NOTICE_VALIDITY_MS;
  }
}
