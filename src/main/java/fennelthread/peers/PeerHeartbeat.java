package fennelthread.peers;

import fennelthread.constants.PeerConstants;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a heartbeat says of its sender; {@code workers} and {@code gone} are what has changed of the
 * workers' addresses since the last heartbeat that the receiver has answered. {@code chains} is
 * true if the sender makes jobs wait for others, {@code relays} if it passes on reports and
 * commands: versions that do not, leave the fields out. {@code deaf} is true of a leader that does
 * not hear its workers itself. {@code promised}, in an answer, is the epoch to whose leader the
 * heartbeat brought a promise not to help anyone take over, {@code promises} of a version that
 * gives such. {@code keep} is null from a version that never keeps leases alive in a silent
 * leader's place.
 */
public record PeerHeartbeat(
    String member,
    String incarnation,
    long epoch,
    boolean leading,
    long servedAgoMs,
    long reportsHeard,
    boolean chains,
    boolean relays,
    boolean deaf,
    boolean promises,
    long promised,
    Keep keep,
    Map<String, String> workers,
    List<String> gone) {

  /**
   * What controllers tell one another about keeping leases alive without the leader. In a
   * heartbeat: {@code hears} says that the receiver was heard lately, {@code after} how far its log
   * of cancellations is known. In an answer: {@code still} is the epoch to whose leader the
   * heartbeat brought a promise not to keep any lease for a while, {@code cancelled} goes on from
   * {@code after}, up to {@code to}; {@code all} says that this is all there is. {@code keeping}
   * and {@code keptMsAgo}, which is {@link PeerConstants#NEVER_RENEWED} of one that never did, are
   * of the sender, at any time.
   */
  public record Keep(
      boolean hears,
      long after,
      long still,
      List<String> cancelled,
      long to,
      boolean all,
      boolean keeping,
      long keptMsAgo) {

    Fields write() {
      Fields f =
          Fields.create()
              .with("hears", hears)
              .with("after", after)
              .with("still", still)
              .with("withdrawn", cancelled)
              .with("to", to)
              .with("all", all)
              .with("keeping", keeping);
      return keptMsAgo == PeerConstants.NEVER_RENEWED ? f : f.with("kept_ms_ago", keptMsAgo);
    }

    static Keep read(Fields f) throws WireException {
      return new Keep(
          f.optFlag("hears"),
          f.count("after", 0),
          f.count("still", 0),
          f.optTexts("withdrawn") == null ? List.of() : f.optTexts("withdrawn"),
          f.count("to", 0),
          f.optFlag("all"),
          f.optFlag("keeping"),
          f.has("kept_ms_ago") ? f.count("kept_ms_ago") : PeerConstants.NEVER_RENEWED);
    }
  }

  /** A heartbeat of this version that has promised nothing yet. */
  public PeerHeartbeat(
      String member,
      String incarnation,
      long epoch,
      boolean leading,
      long servedAgoMs,
      long reportsHeard,
      boolean deaf) {
    this(
        member,
        incarnation,
        epoch,
        leading,
        servedAgoMs,
        reportsHeard,
        true,
        true,
        deaf,
        true,
        0,
        null,
        Map.of(),
        List.of());
  }

  /** The same with a promise not to help anyone take over from the leader of an epoch. */
  public PeerHeartbeat promising(long forEpoch) {
    return new PeerHeartbeat(
        member,
        incarnation,
        epoch,
        leading,
        servedAgoMs,
        reportsHeard,
        chains,
        relays,
        deaf,
        promises,
        forEpoch,
        keep,
        workers,
        gone);
  }

  /** The same with what is to be said of keeping leases. */
  public PeerHeartbeat keeping(Keep note) {
    return new PeerHeartbeat(
        member,
        incarnation,
        epoch,
        leading,
        servedAgoMs,
        reportsHeard,
        chains,
        relays,
        deaf,
        promises,
        promised,
        note,
        workers,
        gone);
  }

  PeerHeartbeat with(Map<String, String> newWorkers, List<String> newGone) {
    return new PeerHeartbeat(
        member,
        incarnation,
        epoch,
        leading,
        servedAgoMs,
        reportsHeard,
        chains,
        relays,
        deaf,
        promises,
        promised,
        keep,
        newWorkers,
        newGone);
  }

  Fields write() {
    Fields f =
        Fields.create()
            .with("member", member)
            .with("incarnation", incarnation)
            .with("epoch", epoch)
            .with("leading", leading)
            .with("served_ago_ms", servedAgoMs)
            .with("beats_heard", reportsHeard)
            .with("chains", chains)
            .with("relays", relays)
            .with("deaf", deaf)
            .with("promises", promises)
            .with("promised", promised);
    if (keep != null) {
      f.with("keep", keep.write());
    }
    return f.with("workers", workers).with("gone", gone);
  }

  static PeerHeartbeat read(Fields f) throws WireException {
    Map<String, String> workers = new LinkedHashMap<>();
    if (f.has("workers")) {
      for (Map.Entry<String, Object> e : f.inner("workers").map().entrySet()) {
        if (e.getValue() instanceof String address) {
          workers.put(e.getKey(), address);
        }
      }
    }
    return new PeerHeartbeat(
        f.text("member"),
        f.text("incarnation"),
        f.count("epoch"),
        f.flag("leading"),
        f.count("served_ago_ms"),
        f.count("beats_heard"),
        f.optFlag("chains"),
        f.optFlag("relays"),
        f.optFlag("deaf"),
        f.optFlag("promises"),
        f.count("promised", 0),
        f.has("keep") ? Keep.read(f.inner("keep")) : null,
        workers,
        f.optTexts("gone") == null ? List.of() : f.optTexts("gone"));
  }
}
