package fennelthread.leader;

/** What a controller knows from its peers' heartbeats that the leader lease depends on. */
public interface PeerKnowledge {
  /** True if no peer can have become leader while the local lease is valid. */
  boolean excludesOtherLeader();

  /**
   * Checks whether the leader of an epoch may still answer reports because it knows of no later
   * epoch.
   *
   * @return {@code epoch}, or 0 if every peer is known to have learned of a later one
   */
  long epochIfUnbounded(long epoch);
}
