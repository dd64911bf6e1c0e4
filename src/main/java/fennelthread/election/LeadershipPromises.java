package fennelthread.election;

import fennelthread.constants.ElectionConstants;
import fennelthread.constants.ProtocolConstants;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Records the followers' promises that allow a leader to start tasks although a majority may end
 * its term before its lease expires. A follower that answers a heartbeat promises not to support a
 * takeover for {@link ElectionConstants#PROMISE_MS}. While enough promises are in force, no
 * majority can agree to a takeover. Without enough, the leader must first declare in the state
 * service that it acts without them ({@link UnilateralLeadership}); every takeover is conditional
 * on that declaration being unchanged since the majority agreed.
 *
 * <p>A promise is not a vote. A vote goes to a candidate, at most one in each term, and does not
 * expire. A promise goes to the controller that leads already, is renewed with each heartbeat,
 * expires by itself, and only keeps the follower from agreeing to a takeover meanwhile. Other
 * protocols call this a leader lease or a quorum check.
 *
 * <p>The leader counts a promise from when it sent the heartbeat, and the follower from when it
 * arrived, so that the promise ends first for the leader. This relies on a bound on the drift of
 * the followers' clocks and the leader's ({@link ProtocolConstants#MAX_CLOCK_DRIFT}).
 */
public final class LeadershipPromises {
  private final Map<String, Long> heartbeatSentAtMs = new HashMap<>();
  private final int requiredPromises;
  private long epoch = -1;

  /**
   * Creates an empty record of promises.
   *
   * @param controllers the number of controllers, this one included
   */
  public LeadershipPromises(int controllers) {
    this.requiredPromises = controllers - majority(controllers);
  }

  /** The number of controllers that must agree to a takeover; the leader is not one of them. */
  static int majority(int controllers) {
    return controllers / 2 + 1;
  }

  /** Begins an epoch led by this controller: no promise has been given for it. */
  public void beginEpoch(long newEpoch) {
    epoch = newEpoch;
    heartbeatSentAtMs.clear();
  }

  /**
   * Records a promise; one for another epoch is ignored.
   *
   * @param sentAtMs when the heartbeat that it answers was sent, ms of the local clock
   */
  public void recordPromise(String member, long forEpoch, long sentAtMs) {
    if (forEpoch == epoch) {
      heartbeatSentAtMs.merge(member, sentAtMs, Math::max);
    }
  }

  /**
   * Until when no takeover can be applied, ms of the local clock; {@code Long.MIN_VALUE} if too few
   * followers have promised.
   */
  public long protectedUntilMs() {
    if (requiredPromises == 0) {
      return Long.MAX_VALUE;
    }
    if (heartbeatSentAtMs.size() < requiredPromises) {
      return Long.MIN_VALUE;
    }
    long[] sentAtMs = heartbeatSentAtMs.values().stream().mapToLong(Long::longValue).toArray();
    Arrays.sort(sentAtMs);
    return sentAtMs[sentAtMs.length - requiredPromises] + validForMs();
  }

  /**
   * How long the leader relies on a promise, ms: less than the time for which it binds the
   * follower.
   */
  private static long validForMs() {
    return (long) (ElectionConstants.PROMISE_MS * (1 - 2 * ProtocolConstants.MAX_CLOCK_DRIFT))
        - ProtocolConstants.LEASE_MARGIN_MS;
  }
}
