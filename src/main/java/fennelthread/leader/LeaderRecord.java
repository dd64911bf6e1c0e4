package fennelthread.leader;

import fennelthread.wire.Fields;
import fennelthread.wire.WireException;

/**
 * The stored record of the current leader. Its key is bound to the leader's lease at the state
 * service and disappears with it.
 *
 * @param member the leading controller
 * @param incarnation distinguishes the leading process from earlier processes of the same member
 * @param epoch the epoch that it claimed
 * @param storeLeaseId the lease at the state service that the record is bound to
 * @param honorsPromises true if the leader's version starts tasks only while it holds its peers'
 *     promises, so that a majority of the members may replace it before its lease expires
 * @param claimedAtWallMs the time of day of the claim by the leader's clock, ms; 0 if the record
 *     does not say
 */
record LeaderRecord(
    String member,
    String incarnation,
    long epoch,
    long storeLeaseId,
    boolean honorsPromises,
    long claimedAtWallMs) {

  /** The stored form. */
  Fields encode() {
    return Fields.create()
        .with("member", member)
        .with("incarnation", incarnation)
        .with("epoch", epoch)
        .with("permiso", storeLeaseId)
        .with("promises", honorsPromises)
        .with("at_ms", claimedAtWallMs);
  }

  /** Reads the stored form; fields that older versions did not write have their defaults. */
  static LeaderRecord decode(Fields stored) throws WireException {
    return new LeaderRecord(
        stored.text("member"),
        stored.text("incarnation"),
        stored.count("epoch"),
        stored.count("permiso"),
        stored.optFlag("promises"),
        stored.count("at_ms", 0));
  }
}
