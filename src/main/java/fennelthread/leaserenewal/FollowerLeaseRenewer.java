package fennelthread.leaserenewal;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.constants.PeerConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.settings.Settings;
import fennelthread.state.Replica;
import fennelthread.wire.WorkerReport;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A follower's part for workers whose leader is silent: in a zone that is cut off, or between a
 * leader's end and the next claim while the state service is down. It answers their reports under
 * the token that they obey already, so that their leases do not run out, and stops what it knows to
 * be over; it starts nothing. For how long, and what a leader may conclude meanwhile, is in {@link
 * Bounds}, {@link CancellationWatermark} and {@link RenewalLog}; docs/lease-renewal.md has the
 * reasons.
 */
public final class FollowerLeaseRenewer implements PeerHeartbeats.Guest {
  private static final Logger log = LoggerFactory.getLogger(FollowerLeaseRenewer.class);

  /** What this controller does for workers of a leader that is not itself. */
  public enum Phase {
    /** The leader is heard, or no report came since it is silent: nothing is kept. */
    STANDING_BY,
    /** Reports are answered in the silent leader's place. */
    KEEPING
  }

  private final EventLoop eventLoop;
  private final PeerHeartbeats peers;
  private final BooleanSupplier leading;
  private final LongSupplier ownEpoch;
  private final LongSupplier highestEpoch;
  private final CancellationLog cancellations;
  private final CancellationWatermark currency;
  private final HeartbeatResponseGate gate;
  private final RenewalLog ledger;
  private final long keepMs;
  private final long keptAtMostMs;
  private Phase phase = Phase.STANDING_BY;
  private long epoch;
  private long exchangedAtMs = Long.MIN_VALUE / 2;
  private long stillUntilMs = Long.MIN_VALUE / 2;
  private long keptAtMs = Long.MIN_VALUE / 2;
  private long kept;
  private boolean everKept;

  /**
   * Creates it, and joins the heartbeats.
   *
   * @param replica our copy of the state
   * @param leading whether this controller leads
   * @param ownEpoch its epoch then
   * @param highestEpoch the highest epoch heard of from anyone
   */
  public FollowerLeaseRenewer(
      EventLoop eventLoop,
      Settings settings,
      PeerHeartbeats peers,
      CancellationLog cancellations,
      Replica replica,
      BooleanSupplier leading,
      LongSupplier ownEpoch,
      LongSupplier highestEpoch) {
    this.eventLoop = eventLoop;
    this.peers = peers;
    this.leading = leading;
    this.ownEpoch = ownEpoch;
    this.highestEpoch = highestEpoch;
    this.cancellations = cancellations;
    List<String> members = settings.peers().stream().map(Settings.Peer::member).toList();
    this.currency = new CancellationWatermark(replica::currentAsOfMs, members, cancellations);
    this.keepMs = RenewalBounds.keepMs(settings.workers());
    this.keptAtMostMs = RenewalBounds.keptAtMostMs(settings.workers());
    this.gate = new HeartbeatResponseGate(eventLoop, currency, cancellations, keepMs);
    this.ledger = new RenewalLog(members, keptAtMostMs);
    peers.join(this);
  }

  /**
   * What lets answers to reports out, ours and those of whoever else in this process gives some.
   */
  public HeartbeatResponseGate gate() {
    return gate;
  }

  // ---------------------------------------------------------------- leading

  /** A term of ours begins. */
  public void elected() {
    ledger.begin();
    moveTo(Phase.STANDING_BY);
  }

  /** The last moment at which another controller may have answered a report for our epoch, ms. */
  public long lastKeptMs() {
    return ledger.lastKeptMs(eventLoop.nowMs());
  }

  /**
   * Since when no controller of an older epoch answers reports any more, ms; {@code Long.MAX_VALUE}
   * if one may do so for ever, having led the epoch {@code unbounded} with a version that knows no
   * bound.
   */
  public long othersSilentSinceMs(long ofEpoch, long electedAtMs, long unbounded) {
    return peers.acknowledgedSince(ofEpoch, electedAtMs + keptAtMostMs, unbounded);
  }

  // ---------------------------------------------------------------- heartbeats

  @Override
  public PeerHeartbeat sendHeartbeat(String member, PeerHeartbeat heartbeat) {
    return heartbeat.keeping(
        note(
            peers.silentMs(member) < PeerConstants.PEER_SILENT_MS,
            currency.taken(member),
            0,
            new CancellationLog.Page(List.of(), 0, false)));
  }

  @Override
  public PeerHeartbeat answer(PeerHeartbeat asked, PeerHeartbeat answer) {
    PeerHeartbeat.Keep question = asked.keep();
    if (question == null) {
      return answer.keeping(note(true, 0, 0, new CancellationLog.Page(List.of(), 0, false)));
    }
    if (leading.getAsBoolean()) {
      ledger.weAnswer(asked, eventLoop.nowMs());
    }
    return answer.keeping(note(true, 0, promise(asked), cancellations.after(question.after())));
  }

  /**
   * Promises the leader that sends a heartbeat to us to keep nothing for a while, unless it does
   * not hear us.
   */
  private long promise(PeerHeartbeat asked) {
    if (!asked.leading() || asked.epoch() < epoch) {
      return 0;
    }
    follow(asked.epoch());
    if (!asked.keep().hears()) {
      // It will not get this answer either: workers that reach only us must not pay for that.
      return 0;
    }
    stillUntilMs =
        eventLoop.nowMs()
            + (long) (LeaseRenewalConstants.KEEP_STILL_MS * (1 + 2 * ProtocolConstants.CLOCK_DRIFT))
            + ProtocolConstants.LEASE_MARGIN_MS;
    moveTo(Phase.STANDING_BY);
    return epoch;
  }

  private PeerHeartbeat.Keep note(
      boolean hears, long after, long still, CancellationLog.Page page) {
    return new PeerHeartbeat.Keep(
        hears,
        after,
        still,
        page.ids(),
        page.to(),
        page.all(),
        phase == Phase.KEEPING,
        everKept ? eventLoop.nowMs() - keptAtMs : PeerConstants.KEPT_NEVER);
  }

  @Override
  public void acknowledged(String member, PeerHeartbeat reply, long sentAtMs) {
    currency.answered(member, reply, sentAtMs, eventLoop.nowMs());
    if (leading.getAsBoolean()) {
      ledger.answered(member, reply, ownEpoch.getAsLong(), sentAtMs, eventLoop.nowMs());
    } else if (reply.leading() && reply.keep() != null && reply.epoch() >= epoch) {
      follow(reply.epoch());
      exchangedAtMs = Math.max(exchangedAtMs, sentAtMs);
    }
  }

  private void follow(long newEpoch) {
    if (newEpoch > epoch) {
      epoch = newEpoch;
      exchangedAtMs = Long.MIN_VALUE / 2;
      moveTo(Phase.STANDING_BY);
    }
  }

  // ---------------------------------------------------------------- following

  /**
   * Answers a report in the place of a silent leader, if that is allowed now; null otherwise. The
   * token is the worker's own: an equal one is obeyed from anyone, and nothing but stops comes with
   * it.
   */
  public Answer keep(WorkerReport report) {
    long now = eventLoop.nowMs();
    boolean obeys = epoch > 0 && report.token() >> ProtocolConstants.TOKEN_BITS == epoch;
    if (!obeys
        || leading.getAsBoolean()
        || highestEpoch.getAsLong() > epoch
        || now <= stillUntilMs) {
      return null;
    }
    if (now >= exchangedAtMs + keepMs || !gate.mayRespond()) {
      moveTo(Phase.STANDING_BY);
      return null;
    }
    moveTo(Phase.KEEPING);
    keptAtMs = now;
    everKept = true;
    kept++;
    return gate.respond(report, report.token(), List.of());
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next) {
    if (next != phase) {
      log.info(
          "epoch {}: {} -> {}, {} reports answered in a silent leader's place so far",
          epoch,
          phase,
          next,
          kept);
    }
    phase = next;
  }
}
