package fennelthread.leaserenewal;

/** The leadership state of this controller that lease renewal depends on. */
public interface LeadershipStatus {
  /** True if this controller leads. */
  boolean isLeading();

  /** The epoch under which this controller leads; only meaningful while it leads. */
  long ownEpoch();

  /** The highest epoch that this controller knows of. */
  long highestEpoch();
}
