package fennelthread.leader;

/** Facts about the peers, from their heartbeats, that the leader lease depends on. */
public interface PeerKnowledge {
  /**
   * True if, while the local lease is valid, no peer can have taken over the leadership. Says
   * nothing once that has expired, since the vacancy may then be claimed. Only meaningful while
   * leading.
   */
  boolean excludesOtherLeader();

  /**
   * Determines whether a leader of this epoch or an older one may still answer reports without a
   * time limit.
   *
   * @return {@code epoch}, or 0 if every peer's version limits that time and every peer knows of
   *     this epoch or a later one
   */
  long epochIfUnbounded(long epoch);
}
