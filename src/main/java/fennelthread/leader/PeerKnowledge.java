package fennelthread.leader;

/** What the heartbeats of the peers say that a leader's lease depends on. */
public interface PeerKnowledge {
  /** True if no peer can have become leader while the local lease is valid. */
  boolean excludesOtherLeader();

  /**
   * Checks an epoch whose leader may answer reports until it learns of a later epoch.
   *
   * @return {@code epoch}, or 0 if every peer is known to have learned of a later one
   */
  long epochIfUnbounded(long epoch);
}
