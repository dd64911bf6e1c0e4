package fennelthread.peers;

import fennelthread.constants.PeerConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives the heartbeats between this controller and its peers, and answers questions
 * about the peers from them. A heartbeat acknowledges its epoch: its sender no longer answers
 * reports for older epochs. Used on the event loop's thread only.
 */
public final class PeerHeartbeats implements Service {
  private static final Logger log = LoggerFactory.getLogger(PeerHeartbeats.class);
  private static final String HEARTBEAT_PATH = "/hail";

  private final EventLoop eventLoop;
  private final LocalStatus localStatus;
  private final Map<String, PeerConnection> peers = new LinkedHashMap<>();
  private final PeerServices services = new PeerServices();
  private final List<HeartbeatExtension> extensions = new ArrayList<>();

  /** Creates the heartbeats of one controller; {@link #start} begins to send them. */
  public PeerHeartbeats(EventLoop eventLoop, Settings settings, LocalStatus localStatus) {
    this.eventLoop = eventLoop;
    this.localStatus = localStatus;
    settings.peers().forEach(peer -> peers.put(peer.member(), new PeerConnection(peer)));
  }

  /** Adds a subsystem that takes part in heartbeats from now on. */
  public void addExtension(HeartbeatExtension extension) {
    extensions.add(extension);
  }

  /** Adds a service that handles peers' requests under paths with this prefix. */
  public void addService(String prefix, Service service) {
    services.add(prefix, service);
  }

  // ---------------------------------------------------------------- sending

  /** Sends a heartbeat to each peer immediately, then periodically; call it once. */
  public void start() {
    sendHeartbeats();
    double jitter = 1 + ProtocolConstants.PAUSE_JITTER_SHARE * eventLoop.random().nextDouble();
    eventLoop.after((long) (PeerConstants.HEARTBEAT_INTERVAL_MS * jitter), this::start);
  }

  /**
   * Sends a heartbeat to each peer that has none in flight. Used also between the periodic
   * heartbeats, so that peers learn of a new leader or of unreachable workers without delay.
   */
  public void sendHeartbeats() {
    peers.values().forEach(this::sendHeartbeat);
  }

  private void sendHeartbeat(PeerConnection peer) {
    if (!peer.tryStartHeartbeat()) {
      return;
    }
    WorkerAddressUpdate addresses = peer.prepareAddressUpdate(localStatus.workerAddresses());
    PeerHeartbeat heartbeat = PeerHeartbeat.of(localStatus.sender()).withAddresses(addresses);
    for (HeartbeatExtension extension : extensions) {
      heartbeat = extension.extendHeartbeat(peer.member(), heartbeat);
    }
    long sentAtMs = eventLoop.nowMs();
    eventLoop.call(
        peer.address(),
        Call.post(HEARTBEAT_PATH, Codec.JSON, heartbeat.write()),
        PeerConstants.HEARTBEAT_TIMEOUT_MS,
        answer -> onHeartbeatAnswer(peer, addresses, sentAtMs, answer));
  }

  private void onHeartbeatAnswer(
      PeerConnection peer, WorkerAddressUpdate addresses, long sentAtMs, Answer answer) {
    if (answer == null) {
      peer.onHeartbeatUnanswered(eventLoop.nowMs());
      return;
    }
    peer.onHeartbeatAnswered();
    if (answer.status() != 200) {
      return;
    }
    try {
      PeerHeartbeat reply = PeerHeartbeat.read(Codec.JSON.decode(answer.body()));
      peer.acknowledgeAddresses(reply.incarnation(), addresses);
      record(reply);
      for (HeartbeatExtension extension : extensions) {
        extension.onAnswer(peer.member(), reply, sentAtMs);
      }
    } catch (WireException e) {
      log.info("peer heartbeat answer malformed peer={} reason={}", peer.member(), e.getMessage());
    }
  }

  /** Sends a request to a peer; the callbacks follow the contract of {@link EventLoop#call}. */
  public void call(
      String member,
      String path,
      Fields body,
      long timeoutMs,
      Consumer<Answer> done,
      EventLoop.Unsent unsent) {
    eventLoop.call(
        peers.get(member).address(), Call.post(path, Codec.JSON, body), timeoutMs, done, unsent);
  }

  /** Sends a request to a peer; {@code done} receives null also if nothing of it was sent. */
  public void call(String member, String path, Fields body, long timeoutMs, Consumer<Answer> done) {
    call(member, path, body, timeoutMs, done, wasTried -> done.accept(null));
  }

  // ---------------------------------------------------------------- receiving

  /** Handles a peer's request: a heartbeat, or a request to one of the added services. */
  @Override
  public void handle(Request request, Consumer<Answer> reply) {
    if (services.tryHandle(request, reply)) {
      return;
    }
    if (!request.path().equals(HEARTBEAT_PATH)) {
      reply.accept(error(404, "unknown path"));
      return;
    }
    if (!request.method().equals("POST")) {
      reply.accept(error(405, "use POST"));
      return;
    }
    handleHeartbeat(request, reply);
  }

  private void handleHeartbeat(Request request, Consumer<Answer> reply) {
    PeerHeartbeat heartbeat;
    try {
      heartbeat = PeerHeartbeat.read(Codec.JSON.decode(request.body()));
      record(heartbeat);
    } catch (WireException e) {
      reply.accept(error(400, e.getMessage()));
      return;
    }
    // Created after the heartbeat was recorded, so that it acknowledges the heartbeat's epoch.
    PeerHeartbeat answer = PeerHeartbeat.of(localStatus.sender());
    for (HeartbeatExtension extension : extensions) {
      answer = extension.extendAnswer(heartbeat, answer);
    }
    reply.accept(Answer.of(200, Codec.JSON, answer.write()));
  }

  private static Answer error(int status, String message) {
    return Answer.of(status, Codec.JSON, Fields.create().with("error", message));
  }

  private void record(PeerHeartbeat heartbeat) {
    PeerConnection peer = peers.get(heartbeat.member());
    if (peer != null && peer.record(heartbeat, eventLoop.nowMs())) {
      localStatus.onHeartbeat(heartbeat);
    }
  }

  // ---------------------------------------------------------------- relays

  /**
   * True if a peer relays reports and commands, was heard from lately, and was heard from after the
   * last heartbeat that it left unanswered.
   */
  public boolean canRelayThrough(String member) {
    PeerConnection peer = peers.get(member);
    return peer != null && peer.canRelay(eventLoop.nowMs());
  }

  /** The peers through which this controller can relay, by member name. */
  public List<String> relayingMembers() {
    long nowMs = eventLoop.nowMs();
    return peers.values().stream()
        .filter(peer -> peer.canRelay(nowMs))
        .map(PeerConnection::member)
        .toList();
  }

  /** The peer that can relay and receives reports from the most workers; null if none can relay. */
  public String bestRelay() {
    long nowMs = eventLoop.nowMs();
    PeerConnection best = null;
    for (PeerConnection peer : peers.values()) {
      if (peer.canRelay(nowMs)
          && (best == null || workersReportingTo(peer) > workersReportingTo(best))) {
        best = peer;
      }
    }
    return best == null ? null : best.member();
  }

  private static long workersReportingTo(PeerConnection peer) {
    return peer.latest().sender().reportingWorkers();
  }

  /** The sum, over the peers heard from lately, of the workers whose reports each receives. */
  public long workersReportingToPeers() {
    long nowMs = eventLoop.nowMs();
    long workers = 0;
    for (PeerConnection peer : peers.values()) {
      if (peer.wasRecentlyHeard(nowMs)) {
        workers += workersReportingTo(peer);
      }
    }
    return workers;
  }

  /** True if the peer was heard from lately, leads, and receives no reports directly. */
  public boolean leadsWithWorkersUnreachable(String member) {
    PeerConnection peer = peers.get(member);
    return peer != null
        && peer.wasRecentlyHeard(eventLoop.nowMs())
        && peer.latest().leading()
        && peer.latest().sender().workersUnreachable();
  }

  /**
   * Finds a peer heard from lately that renews leases in place of a silent leader; null if none.
   */
  public String findRenewingPeer() {
    long nowMs = eventLoop.nowMs();
    for (PeerConnection peer : peers.values()) {
      if (peer.wasRecentlyHeard(nowMs)
          && peer.latest().renewal() != null
          && peer.latest().renewal().renewing()) {
        return peer.member();
      }
    }
    return null;
  }

  // ---------------------------------------------------------------- silence and epochs

  /** The time since a peer was last heard from, ms; 0 for a member that is no peer. */
  public long silentMs(String member) {
    PeerConnection peer = peers.get(member);
    return peer == null ? 0 : eventLoop.nowMs() - peer.lastHeardAtMs();
  }

  /**
   * The moment since which each peer either acknowledges {@code epoch} or can answer no report for
   * an older one, ms; {@code Long.MAX_VALUE} while some peer still may answer one.
   *
   * @param boundMs the moment from which peers that bound their renewals answer no such report
   * @param unboundedEpoch the last epoch whose leader may be of a version that renews leases
   *     without bound, 0 for none
   */
  public long acknowledgedSinceMs(long epoch, long boundMs, long unboundedEpoch) {
    long sinceMs = Long.MIN_VALUE;
    for (PeerConnection peer : peers.values()) {
      if (peer.latest() != null && peer.latest().epoch() >= epoch) {
        sinceMs = Math.max(sinceMs, peer.epochSinceMs());
      } else if (unboundedEpoch == 0 || peer.boundsRenewals(unboundedEpoch)) {
        sinceMs = Math.max(sinceMs, boundMs);
      } else {
        return Long.MAX_VALUE;
      }
    }
    return sinceMs;
  }

  /**
   * True if each peer was heard from, is of a version that bounds its renewals, and knows of {@code
   * unboundedEpoch} or a later epoch. Then no peer that leads this epoch or an older one renews
   * leases without bound.
   */
  public boolean doAllPeersBoundRenewals(long unboundedEpoch) {
    return peers.values().stream().allMatch(peer -> peer.boundsRenewals(unboundedEpoch));
  }

  /**
   * True if the state service has served some peer after {@code timeMs}. A peer's statement that it
   * is being served would not be enough, because it may not have noticed a new outage yet.
   */
  public boolean wasAnyPeerServedAfter(long timeMs) {
    return doesAnyPeerMatch(
        peer -> peer.lastHeardAtMs() - peer.latest().sender().servedAgoMs() > timeMs);
  }

  /**
   * True if a peer heard from lately is of a version that does not hold jobs back for their
   * dependencies. A silent peer does not count, because it may never return.
   */
  public boolean hasHeardOutdatedPeer() {
    long nowMs = eventLoop.nowMs();
    return doesAnyPeerMatch(
        peer ->
            !peer.latest().features().dependencies()
                && nowMs - peer.lastHeardAtMs() < PeerConstants.OUTDATED_PEER_MS);
  }

  /** True if the condition holds for some peer that was ever heard from. */
  private boolean doesAnyPeerMatch(Predicate<PeerConnection> condition) {
    return peers.values().stream().anyMatch(peer -> peer.latest() != null && condition.test(peer));
  }
}
