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
 * What a follower says through the state service when the peer network is silent: workers of the
 * leader come to me. A leader that hears none of them itself then knows that it is cut off, and
 * that they are not gone.
 */
public final class UnreachableLeaderNotice {
  private static final Logger log = LoggerFactory.getLogger(UnreachableLeaderNotice.class);

  private final EventLoop eventLoop;
  private final StateClient state;
  private final String member;
  private final Runnable onRead;
  private final Map<String, Long> comers = new LinkedHashMap<>();
  private long writtenAtMs = Long.MIN_VALUE / 2;
  private long readAtMs = Long.MIN_VALUE / 2;
  private long readEpoch = -1;
  private boolean writing;

  /** Creates it for a member; {@code onRead} is called when a peer's word was read. */
  public UnreachableLeaderNotice(
      EventLoop eventLoop, StateClient state, Replica replica, String member, Runnable onRead) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.member = member;
    this.onRead = onRead;
    replica.addListener((key, value, revision) -> changed(key, value));
  }

  /** A worker addWorker here that obeys the leader of this epoch. */
  public void addWorker(String machine) {
    comers.put(machine, eventLoop.nowMs());
  }

  /** Forgets who addWorker: another leads, or the leader can be reached. */
  public void clear() {
    comers.clear();
  }

  /**
   * Says so if it is time to: {@code known} workers are known, the leader of {@code epoch} silent.
   */
  public void publishIfDue(long epoch, int known) {
    long now = eventLoop.nowMs();
    comers.values().removeIf(at -> now - at > RelayConstants.NOTICE_VALIDITY_MS);
    if (writing
        || comers.size()
            < Math.max(
                RelayConstants.MIN_NOTICE_WORKERS, known * RelayConstants.MIN_NOTICE_WORKER_SHARE)
        || now - writtenAtMs < RelayConstants.MIN_NOTICE_INTERVAL_MS) {
      return;
    }
    writing = true;
    writtenAtMs = now;
    log.info(
        "epoch {}: {} workers of a leader that can't be reached come here", epoch, comers.size());
    state.submitTxn(
        RequestPriority.INTERACTIVE,
        // Not conditional on anything: it is a hint, and says itself which epoch it is about.
        new Txn()
            .write(
                Keys.unreachableLeader(member),
                Fields.create().with("epoch", epoch).with("workers", (long) comers.size())),
        result -> writing = false);
  }

  private void changed(String key, Fields value) {
    if (value == null
        || !key.startsWith(Keys.UNREACHABLE_LEADER_PREFIX)
        || key.equals(Keys.unreachableLeader(member))) {
      return;
    }
    try {
      readEpoch = value.count("epoch");
      readAtMs = eventLoop.nowMs();
      onRead.run();
    } catch (WireException e) {
      log.error("unreadable {}: {}", key, e.getMessage());
    }
  }

  /** True if a peer has just said that workers of this epoch's leader come to it. */
  public boolean hasFreshNotice(long epoch) {
    return readEpoch == epoch && eventLoop.nowMs() - readAtMs < RelayConstants.NOTICE_VALIDITY_MS;
  }
}
