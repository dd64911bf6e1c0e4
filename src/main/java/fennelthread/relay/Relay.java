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
 * A follower's relay for workers that cannot reach the leader: it sends their reports to the leader
 * and the leader's answers back. It never answers a report itself. It gives up long before the
 * worker's own timeout, and then redirects the worker to the next controller. Used on the event
 * loop's thread only.
 */
public final class Relay {
  private static final Logger log = LoggerFactory.getLogger(Relay.class);

  /** Whether reports are relayed at the moment. */
  private enum Phase {
    /** Reports are relayed. */
    OPEN,
    /** The leader left several reports in a row unanswered: none is relayed until a pause ends. */
    PAUSED
  }

  /** What happens to a report that this controller must not answer. */
  public enum Decision {
    /** It is relayed to the leader, and the worker gets the leader's answer. */
    RELAYED,
    /** The worker is redirected to the leader. */
    REDIRECT_TO_LEADER,
    /**
     * The worker is redirected to the next controller: the leader does not answer it, and this
     * controller can't relay.
     */
    REDIRECT_TO_NEXT
  }

  /** How this controller treats the reports of a worker that the leader may not answer. */
  private static final class WorkerRoute {
    /** When the worker was last redirected to the leader, ms. */
    long redirectedAtMs;

    /** Since when its reports are relayed, ms; -1 while they are not. */
    long relayedSinceMs = -1;

    /** How long its reports are relayed before it is redirected to the leader again, ms. */
    long relayPeriodMs = RelayConstants.MIN_RELAY_PERIOD_MS;
  }

  private final EventLoop eventLoop;
  private final Settings settings;
  private final PeerHeartbeats peers;

  /** The routes by worker name, the least recently used first. */
  private final Map<String, WorkerRoute> routes = new LinkedHashMap<>(64, 0.75f, true);

  private Phase phase = Phase.OPEN;
  private long epoch = -1;
  private long epochSinceMs;
  private long pausedUntilMs;
  private int consecutiveFailures;
  private int reportsInFlight;
  private long relayedReports;

  /** Creates a relay that sends reports to the leader as requests between peers. */
  public Relay(EventLoop eventLoop, Settings settings, PeerHeartbeats peers) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.peers = peers;
  }

  /**
   * Relays a report that this controller must not answer, or decides where the worker is to be
   * redirected. {@code reply} is called only if the report is relayed.
   */
  public Decision relayOrRedirect(WorkerReport report, KnownLeader leader, Consumer<Answer> reply) {
    long nowMs = eventLoop.nowMs();
    if (leader.epoch() != epoch) {
      epoch = leader.epoch();
      epochSinceMs = nowMs;
      routes.clear();
    }
    boolean isUnanswered = updateRoute(report, nowMs);
    if (!isUnanswered && !peers.leadsWithWorkersUnreachable(leader.member())) {
      return Decision.REDIRECT_TO_LEADER;
    }
    if (!mayRelayAnother(nowMs) || !peers.canRelayThrough(leader.member())) {
      // If the worker were redirected to a leader that does not answer it, it would wait for an
      // answer for most of its lease.
      return isUnanswered ? Decision.REDIRECT_TO_NEXT : Decision.REDIRECT_TO_LEADER;
    }
    relay(report, leader, reply);
    return Decision.RELAYED;
  }

  /**
   * Updates the route of a worker that reported here.
   *
   * @return true if the worker has tried the leader without getting an answer, as far as this
   *     controller can tell
   */
  private boolean updateRoute(WorkerReport report, long nowMs) {
    WorkerRoute route = routes.get(report.machine());
    if (route == null) {
      route = new WorkerRoute();
      route.redirectedAtMs = Long.MIN_VALUE / 2;
      routes.put(report.machine(), route);
      removeLeastRecentlyUsed();
    }
    if (route.relayedSinceMs >= 0) {
      if (nowMs - route.relayedSinceMs < route.relayPeriodMs) {
        return true;
      }
      // The worker is to try the leader again, after a longer period each time.
      route.relayedSinceMs = -1;
      route.relayPeriodMs = Math.min(RelayConstants.MAX_RELAY_PERIOD_MS, route.relayPeriodMs * 2);
      route.redirectedAtMs = nowMs;
      return false;
    }
    // A worker that has held a token of the leader's epoch for long has reported to the leader, and
    // would report there if it were answered. Early in a term it may hold the token from a probe,
    // before its first report to the new leader.
    boolean hasReportedToLeader =
        report.token() >> ProtocolConstants.TOKEN_BITS == epoch
            && nowMs - epochSinceMs > RelayConstants.TERM_SETTLING_MS;
    boolean wasRedirected = nowMs - route.redirectedAtMs < settings.workers().leaseMs();
    if (hasReportedToLeader || wasRedirected) {
      route.relayedSinceMs = nowMs;
      return true;
    }
    route.redirectedAtMs = nowMs;
    return false;
  }

  private void removeLeastRecentlyUsed() {
    while (routes.size() > RelayConstants.MAX_KNOWN_WORKERS) {
      routes.remove(routes.keySet().iterator().next());
    }
  }

  /** True if relaying is not paused and few enough reports are in flight; ends a pause when due. */
  private boolean mayRelayAnother(long nowMs) {
    if (phase == Phase.PAUSED && nowMs >= pausedUntilMs) {
      moveTo(Phase.OPEN);
      consecutiveFailures = 0;
    }
    return phase == Phase.OPEN && reportsInFlight < RelayConstants.MAX_RELAYS_IN_FLIGHT;
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next) {
    log.info("relay phase changed from={} to={} relayedReports={}", phase, next, relayedReports);
    phase = next;
  }

  private void relay(WorkerReport report, KnownLeader leader, Consumer<Answer> reply) {
    reportsInFlight++;
    peers.call(
        leader.member(),
        RelayWire.REPORT,
        new RelayWire.Report(settings.member(), leader.epoch(), report).write(),
        RelayConstants.RELAY_TIMEOUT_MS,
        answer -> {
          reportsInFlight--;
          RelayWire.Outcome outcome = readOutcome(answer);
          if (outcome == null) {
            onRelayFailed();
          } else {
            consecutiveFailures = 0;
            relayedReports++;
          }
          Answer leaderAnswer = outcome == null ? null : outcome.answer();
          reply.accept(leaderAnswer != null ? leaderAnswer : redirectToNext());
        });
  }

  private void onRelayFailed() {
    if (++consecutiveFailures >= RelayConstants.MAX_UNANSWERED_RELAYS && phase == Phase.OPEN) {
      pausedUntilMs = eventLoop.nowMs() + RelayConstants.RELAY_PAUSE_MS;
      moveTo(Phase.PAUSED);
    }
  }

  /** Reads a peer's answer to a relay request; null if it is missing, an error or malformed. */
  static RelayWire.Outcome readOutcome(Answer answer) {
    if (answer == null || answer.status() != 200) {
      return null;
    }
    try {
      return RelayWire.Outcome.read(answer.fields());
    } catch (WireException e) {
      log.info("peer relay answer malformed reason={}", e.getMessage());
      return null;
    }
  }

  /** The answer that makes a worker report to the next controller in its own order. */
  static Answer redirectToNext() {
    return Answer.of(421, Codec.CBOR, new Redirect(null).write());
  }
}
