package fennelthread.relay;

import fennelthread.constants.ProtocolConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Redirect;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerReport;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A follower's part for workers that can't reach the leader: it passes their reports on and the
 * leader's answers back. It never answers a report itself, and gives up long before the worker
 * does; what the worker then gets is the order to try the next controller.
 */
public final class Relay {
  private static final Logger log = LoggerFactory.getLogger(Relay.class);

  /** Whether reports are passed on at the moment. */
  private enum Phase {
    /** They are. */
    OPEN,
    /** The leader did not answer several in a row: none is until the pause is over. */
    PAUSED
  }

  /** What becomes of a report that this controller must not answer. */
  public enum Decision {
    /** It is passed on, and its sender answered once the leader has. */
    RELAYED,
    /** Its sender is to report to the leader. */
    REDIRECT_TO_LEADER,
    /** The leader does not answer its sender, and we can't ask it: another controller may. */
    REDIRECT_TO_NEXT
  }

  /** A worker that was sent to the leader, or whose reports are passed on. */
  private static final class Worker {
    long sentOnAtMs;
    long relayedSinceMs = -1;
    long holdMs = RelayConstants.MIN_RELAY_HOLD_MS;
  }

  private final EventLoop eventLoop;
  private final Settings settings;
  private final PeerHeartbeats peers;
  private final Map<String, Worker> workers = new LinkedHashMap<>(64, 0.75f, true);
  private Phase phase = Phase.OPEN;
  private long epoch = -1;
  private long epochSinceMs;
  private long pausedUntilMs;
  private int unanswered;
  private int underWay;
  private long relayed;

  /** Creates a relay. */
  public Relay(EventLoop eventLoop, Settings settings, PeerHeartbeats peers) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.peers = peers;
  }

  /**
   * Takes a report that this controller must not answer; {@code reply} is called if it is passed
   * on.
   */
  public Decision relayOrRedirect(WorkerReport report, KnownLeader leader, Consumer<Answer> reply) {
    long now = eventLoop.nowMs();
    if (leader.epoch() != epoch) {
      epoch = leader.epoch();
      epochSinceMs = now;
      workers.clear();
    }
    boolean left = hasLeft(report, now);
    if (!left && !peers.leadsWithWorkersUnreachable(leader.member())) {
      return Decision.REDIRECT_TO_LEADER;
    }
    if (!isOpen(now) || !peers.canRelayThrough(leader.member())) {
      // To send it back would cost it the time it waits for the leader's answer, most of its lease.
      return left ? Decision.REDIRECT_TO_NEXT : Decision.REDIRECT_TO_LEADER;
    }
    pass(report, leader, reply);
    return Decision.RELAYED;
  }

  /** True if the worker comes from the leader, which does not answer it. */
  private boolean hasLeft(WorkerReport report, long now) {
    Worker w = workers.get(report.machine());
    if (w == null) {
      w = new Worker();
      w.sentOnAtMs = Long.MIN_VALUE / 2;
      workers.put(report.machine(), w);
      trim();
    }
    if (w.relayedSinceMs >= 0) {
      if (now - w.relayedSinceMs < w.holdMs) {
        return true;
      }
      // Now and then it tries the leader again, less often each time.
      w.relayedSinceMs = -1;
      w.holdMs = Math.min(RelayConstants.MAX_RELAY_HOLD_MS, w.holdMs * 2);
      w.sentOnAtMs = now;
      return false;
    }
    // Whoever obeys the leader for long has reported to it, and would not come here otherwise. In
    // the
    // first moments of a term workers know its token from questions, before they have come over.
    boolean obeyed =
        report.token() >> ProtocolConstants.TOKEN_BITS == epoch
            && now - epochSinceMs > RelayConstants.TERM_SETTLING_MS;
    boolean sentOn = now - w.sentOnAtMs < settings.workers().leaseMs();
    if (obeyed || sentOn) {
      w.relayedSinceMs = now;
      return true;
    }
    w.sentOnAtMs = now;
    return false;
  }

  private void trim() {
    while (workers.size() > RelayConstants.MAX_KNOWN_WORKERS) {
      workers.remove(workers.keySet().iterator().next());
    }
  }

  private boolean isOpen(long now) {
    if (phase == Phase.PAUSED && now >= pausedUntilMs) {
      moveTo(Phase.OPEN);
      unanswered = 0;
    }
    return phase == Phase.OPEN && underWay < RelayConstants.MAX_RELAYS_IN_FLIGHT;
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next) {
    log.info("relay {} -> {}, {} reports passed on so far", phase, next, relayed);
    phase = next;
  }

  private void pass(WorkerReport report, KnownLeader leader, Consumer<Answer> reply) {
    underWay++;
    peers.call(
        leader.member(),
        RelayWire.REPORT,
        new RelayWire.Report(settings.member(), leader.epoch(), report).write(),
        RelayConstants.RELAY_TIMEOUT_MS,
        answer -> {
          underWay--;
          RelayWire.Outcome outcome = outcome(answer);
          if (outcome == null) {
            failed();
          } else {
            unanswered = 0;
            relayed++;
          }
          Answer own = outcome == null ? null : outcome.answer();
          reply.accept(own != null ? own : Relay.tryNext());
        });
  }

  private void failed() {
    if (++unanswered >= RelayConstants.MAX_UNANSWERED_RELAYS && phase == Phase.OPEN) {
      pausedUntilMs = eventLoop.nowMs() + RelayConstants.RELAY_PAUSE_MS;
      moveTo(Phase.PAUSED);
    }
  }

  static RelayWire.Outcome outcome(Answer answer) {
    if (answer == null || answer.status() != 200) {
      return null;
    }
    try {
      return RelayWire.Outcome.read(answer.fields());
    } catch (WireException e) {
      log.info("malformed answer of a sibling: {}", e.getMessage());
      return null;
    }
  }

  /** What a worker gets that nobody can answer here: it tries the next controller. */
  static Answer tryNext() {
    return Answer.of(421, Codec.CBOR, new Redirect(null).write());
  }
}
