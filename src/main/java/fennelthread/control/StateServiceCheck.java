package fennelthread.control;

import fennelthread.constants.ControlConstants;
import fennelthread.net.EventLoop;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;

/**
 * Whether the state service serves this controller: confirms that the replica is current while
 * nothing changes, and tells an outage, which all controllers see, from a refusal that only this
 * one sees.
 */
public final class StateServiceCheck {
  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final PeerHeartbeats peers;

  /** Creates a check; {@code peers} know whether the state service serves the others. */
  public StateServiceCheck(
      EventLoop eventLoop, StateClient state, Replica replica, PeerHeartbeats peers) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.replica = replica;
    this.peers = peers;
  }

  /**
   * Asks the state service for its number of changes if it has been silent for a while. An open
   * watch gets no answer during an outage, and none while nothing changes: peers rely on the answer
   * to tell an outage from a refusal, and how current the replica is decides how long leases may be
   * renewed.
   */
  void confirmReplicaIfSilent() {
    long now = eventLoop.nowMs();
    boolean silent =
        now - Math.min(state.lastServedAtMs(), replica.currentAsOfMs())
            > ControlConstants.STATE_SILENCE_CHECK_MS;
    if (replica.isReady() && silent) {
      state.readStoreRevision(
          revision -> revision.ifPresent(reached -> replica.confirmRevision(reached, now)));
    }
  }

  /** True if the state service refuses this controller and has served a peer since. */
  public boolean isRefusedOnlyHere() {
    return state.failingForMs() > ControlConstants.REFUSED_ONLY_HERE_MS
        && peers.peerServedAfter(
            state.lastServedAtMs() + ControlConstants.REFUSED_ONLY_HERE_MS / 2);
  }
}
