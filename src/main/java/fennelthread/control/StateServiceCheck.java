package fennelthread.control;

import fennelthread.constants.ControlConstants;
import fennelthread.net.EventLoop;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;

/**
 * Checks whether the state service serves this controller: confirms that the replica is current
 * while nothing changes, and distinguishes an outage, which affects all controllers, from a refusal
 * that affects only this one. Used on the event loop's thread only.
 */
public final class StateServiceCheck {
  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final PeerHeartbeats peers;

  /** Creates a check; {@code peers} tells whether the state service serves the others. */
  public StateServiceCheck(
      EventLoop eventLoop, StateClient state, Replica replica, PeerHeartbeats peers) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.replica = replica;
    this.peers = peers;
  }

  /**
   * Reads the store revision if the state service has not served this controller, or the replica
   * has not been confirmed as current, for {@link ControlConstants#STATE_SILENCE_CHECK_MS}. An open
   * watch gets no answer during an outage, and none while nothing changes. Heartbeats tell the
   * peers when this controller was last served, from which they distinguish an outage from a
   * refusal. How current the replica is limits how long leases may be renewed.
   */
  void confirmReplicaIfDue() {
    long nowMs = eventLoop.nowMs();
    boolean isConfirmationDue =
        nowMs - Math.min(state.lastServedAtMs(), replica.currentAsOfMs())
            > ControlConstants.STATE_SILENCE_CHECK_MS;
    if (replica.isReady() && isConfirmationDue) {
      state.readStoreRevision(
          revision ->
              revision.ifPresent(storeRevision -> replica.confirmRevision(storeRevision, nowMs)));
    }
  }

  /**
   * True if requests of this controller keep failing and the state service has served a peer more
   * than half of {@link ControlConstants#REFUSED_ONLY_HERE_MS} after it last served this one.
   */
  public boolean isRefusedOnlyHere() {
    return state.failingForMs() > ControlConstants.REFUSED_ONLY_HERE_MS
        && peers.wasAnyPeerServedAfter(
            state.lastServedAtMs() + ControlConstants.REFUSED_ONLY_HERE_MS / 2);
  }
}
