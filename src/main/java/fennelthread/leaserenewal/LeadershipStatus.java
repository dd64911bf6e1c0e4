package fennelthread.leaserenewal;

/** What this controller knows of leadership, as the renewal of leases needs it. */
public interface LeadershipStatus {
  /** True if this controller leads. */
  boolean isLeading();

  /** The epoch that this controller leads; without meaning while it does not lead. */
  long ownEpoch();

  /** The highest epoch that this controller knows of. */
  long highestEpoch();
}
