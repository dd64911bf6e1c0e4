package fennelthread.election;

import fennelthread.constants.ElectionConstants;
import fennelthread.constants.ProtocolConstants;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * What lets a leader start work beside its grant, so that its peers may end its term before the
 * grant does. Each peer that answers a heartbeat promises not to help anyone take over for a while;
 * the leader counts that while from before the heartbeat left, the peer from when it came in. With
 * enough promises in force no majority can take over. Without, the leader must have written into
 * the state service that it goes alone ({@link UnilateralLeadership}), on whose absence every
 * takeover is conditional.
 *
 * <p>The paper's rule for a lease (t0 before the request) is applied to each promise; its A5 is
 * needed of the peers' clocks as well.
 */
public final class LeadershipPromises {
  private final Map<String, Long> askedAtMs = new HashMap<>();
  private final int needed;
  private long epoch = -1;

  /**
   * Creates them.
   *
   * @param controllers how many there are, this one included
   */
  public LeadershipPromises(int controllers) {
    this.needed = controllers - majority(controllers);
  }

  /** How many controllers it takes to take over from one that is not among them. */
  static int majority(int controllers) {
    return controllers / 2 + 1;
  }

  /** A term of ours begins: nobody has promised anything for it. */
  public void begin(long newEpoch) {
    epoch = newEpoch;
    askedAtMs.clear();
  }

  /**
   * A peer has answered the heartbeat that left at {@code sentAtMs} with a promise for an epoch.
   */
  public void promised(String member, long forEpoch, long sentAtMs) {
    if (forEpoch == epoch) {
      askedAtMs.merge(member, sentAtMs, Math::max);
    }
  }

  /** Until when, ms of our clock, no takeover can have happened; in the past if too few promise. */
  public long untilMs() {
    if (needed == 0) {
      return Long.MAX_VALUE;
    }
    if (askedAtMs.size() < needed) {
      return Long.MIN_VALUE;
    }
    long[] times = askedAtMs.values().stream().mapToLong(Long::longValue).toArray();
    Arrays.sort(times);
    return times[times.length - needed] + heldMs();
  }

  /** What a promise is worth to the leader, ms: less than to the peer that gave it. */
  private static long heldMs() {
    return (long) (ElectionConstants.PROMISE_MS * (1 - 2 * ProtocolConstants.CLOCK_DRIFT))
        - ProtocolConstants.LEASE_MARGIN_MS;
  }
}
