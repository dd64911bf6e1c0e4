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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What controllers tell one another: heartbeats in JSON. A heartbeat that names an epoch
 * acknowledges it: from then on its sender answers no report for an older one.
 */
public final class PeerHeartbeats implements Service {
  private static final Logger log = LoggerFactory.getLogger(PeerHeartbeats.class);

  /** A subsystem that has something to say in heartbeats, and to hear. */
  public interface Guest {
    /** Adds to a heartbeat that is about to leave for a peer. */
    default PeerHeartbeat sendHeartbeat(String member, PeerHeartbeat heartbeat) {
      return heartbeat;
    }

    /** Adds to the answer to a heartbeat that has just been taken note of. */
    PeerHeartbeat answer(PeerHeartbeat asked, PeerHeartbeat answer);

    /** A peer has answered the heartbeat that left at {@code sentAtMs}, read before it was sent. */
    void acknowledged(String member, PeerHeartbeat reply, long sentAtMs);
  }

  private static final class Peer {
    final Settings.Peer peer;
    PeerHeartbeat last;
    long heardAt = Long.MIN_VALUE / 2;
    long epochSince = Long.MAX_VALUE;
    long missedAt = Long.MIN_VALUE / 2;
    boolean heartbeat;
    final Map<String, String> told = new HashMap<>();
    String toldIncarnation = "";

    Peer(Settings.Peer peer) {
      this.peer = peer;
    }
  }

  private final EventLoop eventLoop;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private final java.util.function.Supplier<PeerHeartbeat> self;
  private final java.util.function.Supplier<Map<String, String>> workers;
  private final Consumer<PeerHeartbeat> heard;
  private final Map<String, Service> services = new HashMap<>();
  private final List<Guest> guests = new ArrayList<>();
  private long malformed;

  /**
   * Creates the peer network of one controller; {@code workers} gives the addresses that peers
   * should keep warm, none while another leads.
   */
  public PeerHeartbeats(
      EventLoop eventLoop,
      Settings settings,
      java.util.function.Supplier<PeerHeartbeat> self,
      java.util.function.Supplier<Map<String, String>> workers,
      Consumer<PeerHeartbeat> heard) {
    this.eventLoop = eventLoop;
    this.self = self;
    this.workers = workers;
    this.heard = heard;
    settings.peers().forEach(s -> peers.put(s.member(), new Peer(s)));
  }

  /** Begins to sendHeartbeat. */
  public void start() {
    sendHeartbeats();
    eventLoop.after(
        (long)
            (PeerConstants.HEARTBEAT_INTERVAL_MS
                * (1 + ProtocolConstants.JITTER * eventLoop.random().nextDouble())),
        this::start);
  }

  /** Greets all peers now: after a claim, every moment counts. */
  public void sendHeartbeats() {
    peers.values().forEach(this::sendHeartbeat);
  }

  private void sendHeartbeat(Peer peer) {
    if (peer.heartbeat) {
      return;
    }
    peer.heartbeat = true;
    PeerHeartbeat heartbeat = news(peer);
    for (Guest guest : guests) {
      heartbeat = guest.sendHeartbeat(peer.peer.member(), heartbeat);
    }
    Map<String, String> told = heartbeat.workers();
    List<String> gone = heartbeat.gone();
    long sentAt = eventLoop.nowMs();
    eventLoop.call(
        peer.peer.addr(),
        Call.post("/hail", Codec.JSON, heartbeat.write()),
        PeerConstants.HEARTBEAT_TIMEOUT_MS,
        answer -> {
          peer.heartbeat = false;
          if (answer == null) {
            peer.missedAt = eventLoop.nowMs();
          }
          if (answer != null && answer.status() == 200) {
            try {
              PeerHeartbeat reply = PeerHeartbeat.read(Codec.JSON.decode(answer.body()));
              if (!reply.incarnation().equals(peer.toldIncarnation)) {
                // A new process knows nothing yet but what this heartbeat said.
                peer.toldIncarnation = reply.incarnation();
                peer.told.clear();
              }
              peer.told.putAll(told);
              gone.forEach(peer.told::remove);
              took(reply);
              for (Guest guest : guests) {
                guest.acknowledged(peer.peer.member(), reply, sentAt);
              }
            } catch (WireException e) {
              malformed++;
              log.info("malformed heartbeat of {}: {}", peer.peer.member(), e.getMessage());
            }
          }
        });
  }

  /**
   * A heartbeat with what the peer was not told yet: the addresses of hundreds of workers in each
   * would be tens of kilobytes a second, to be written and read on a small processor.
   */
  private PeerHeartbeat news(Peer peer) {
    Map<String, String> current = workers.get();
    if (current.isEmpty()) {
      peer.told.clear();
      return self.get();
    }
    Map<String, String> fresh = new LinkedHashMap<>();
    for (Map.Entry<String, String> e : current.entrySet()) {
      if (fresh.size() >= PeerConstants.ADDRESSES_PER_HEARTBEAT) {
        break;
      }
      if (!e.getValue().equals(peer.told.get(e.getKey()))) {
        fresh.put(e.getKey(), e.getValue());
      }
    }
    List<String> gone = new ArrayList<>();
    for (String name : peer.told.keySet()) {
      if (!current.containsKey(name) && gone.size() < PeerConstants.ADDRESSES_PER_HEARTBEAT) {
        gone.add(name);
      }
    }
    return self.get().with(fresh, gone);
  }

  /** Lets a subsystem say something in heartbeats from now on. */
  public void join(Guest guest) {
    guests.add(guest);
  }

  /** Lets a subsystem answer what peers ask under a path with this prefix. */
  public void serve(String prefix, Service service) {
    services.put(prefix, service);
  }

  /** Asks a peer something, as {@link EventLoop#call} says. */
  public void call(
      String member,
      String path,
      Fields body,
      long timeoutMs,
      Consumer<Answer> done,
      EventLoop.Unsent unsent) {
    eventLoop.call(
        peers.get(member).peer.addr(), Call.post(path, Codec.JSON, body), timeoutMs, done, unsent);
  }

  /** The same for whoever need not know whether an unanswered one was sent at all. */
  public void call(String member, String path, Fields body, long timeoutMs, Consumer<Answer> done) {
    call(member, path, body, timeoutMs, done, tried -> done.accept(null));
  }

  /** True if a peer passes on reports and commands, and was reached or heard the last time. */
  public boolean relaysFor(String member) {
    Peer p = peers.get(member);
    return p != null && relays(p);
  }

  /** The peers of which that is true. */
  public List<String> relays() {
    return peers.values().stream().filter(this::relays).map(p -> p.peer.member()).toList();
  }

  private boolean relays(Peer p) {
    return isHeard(p) && p.last.relays() && p.heardAt > p.missedAt;
  }

  /** A peer that passes on commands and hears most workers; null if there is none. */
  public String anyRelay() {
    Peer best = null;
    for (Peer p : peers.values()) {
      if (relays(p) && (best == null || p.last.reportsHeard() > best.last.reportsHeard())) {
        best = p;
      }
    }
    return best == null ? null : best.peer.member();
  }

  /**
   * A peer heard lately that keeps leases alive in the place of a silent leader; null if none does.
   */
  public String anyKeeping() {
    for (Peer p : peers.values()) {
      if (isHeard(p) && p.last.keep() != null && p.last.keep().keeping()) {
        return p.peer.member();
      }
    }
    return null;
  }

  /** True if this peer says that it leads and does not hear its workers itself. */
  public boolean isDeaf(String member) {
    Peer p = peers.get(member);
    return p != null && isHeard(p) && p.last.leading() && p.last.deaf();
  }

  /** For how long a peer was not heard, ms; 0 of one that is none. */
  public long silentMs(String member) {
    Peer p = peers.get(member);
    return p == null ? 0 : eventLoop.nowMs() - p.heardAt;
  }

  private boolean isHeard(Peer p) {
    return p.last != null && eventLoop.nowMs() - p.heardAt < PeerConstants.PEER_SILENT_MS;
  }

  @Override
  public void handle(Request request, Consumer<Answer> reply) {
    for (Map.Entry<String, Service> e : services.entrySet()) {
      if (request.path().startsWith(e.getKey()) && request.method().equals("POST")) {
        e.getValue().handle(request, reply);
        return;
      }
    }
    if (!request.path().equals("/hail")) {
      reply.accept(Answer.of(404, Codec.JSON, Fields.create().with("error", "unknown path")));
      return;
    }
    if (!request.method().equals("POST")) {
      reply.accept(Answer.of(405, Codec.JSON, Fields.create().with("error", "use POST")));
      return;
    }
    PeerHeartbeat heartbeat;
    try {
      heartbeat = PeerHeartbeat.read(Codec.JSON.decode(request.body()));
      took(heartbeat);
    } catch (WireException e) {
      malformed++;
      reply.accept(Answer.of(400, Codec.JSON, Fields.create().with("error", e.getMessage())));
      return;
    }
    // After taking note: the answer acknowledges the epoch that was just heard.
    PeerHeartbeat answer = self.get();
    for (Guest guest : guests) {
      answer = guest.answer(heartbeat, answer);
    }
    reply.accept(Answer.of(200, Codec.JSON, answer.write()));
  }

  private void took(PeerHeartbeat heartbeat) {
    Peer peer = peers.get(heartbeat.member());
    if (peer == null) {
      return;
    }
    long now = eventLoop.nowMs();
    if (peer.last == null || heartbeat.epoch() > peer.last.epoch()) {
      peer.epochSince = now;
    } else if (heartbeat.epoch() < peer.last.epoch()
        && heartbeat.incarnation().equals(peer.last.incarnation())) {
      // A packet that was held back: it says nothing of the present.
      return;
    } else if (heartbeat.epoch() < peer.last.epoch()) {
      peer.epochSince = Long.MAX_VALUE;
    }
    peer.last = heartbeat;
    peer.heardAt = now;
    heard.accept(heartbeat);
  }

  /**
   * Since when every peer has acknowledged {@code epoch}, or can't answer reports for an older one
   * any more: those that bound themselves, from {@code boundMs} on. {@code Long.MAX_VALUE} while
   * one counts as still answering.
   *
   * @param unbounded the last epoch whose leader may be of a version that does not bound itself, or
   *     0
   */
  public long acknowledgedSince(long epoch, long boundMs, long unbounded) {
    long since = Long.MIN_VALUE;
    for (Peer p : peers.values()) {
      if (p.last != null && p.last.epoch() >= epoch) {
        since = Math.max(since, p.epochSince);
      } else if (unbounded == 0 || bounds(p, unbounded)) {
        since = Math.max(since, boundMs);
      } else {
        return Long.MAX_VALUE;
      }
    }
    return since;
  }

  /**
   * True if no peer can be the leader of that epoch or an older one of a version that knows no
   * bound.
   */
  public boolean allBound(long unbounded) {
    return peers.values().stream().allMatch(p -> bounds(p, unbounded));
  }

  private static boolean bounds(Peer p, long unbounded) {
    return p.last != null && p.last.keep() != null && p.last.epoch() >= unbounded;
  }

  /**
   * True if the state service has answered some peer after {@code time}. A peer's word that it is
   * served is not enough: in an outage that has just begun, it may not have noticed yet.
   */
  public boolean peerServedAfter(long time) {
    return peers.values().stream()
        .anyMatch(p -> p.last != null && p.heardAt - p.last.servedAgoMs() > time);
  }

  /**
   * True if a peer that was heard lately does not make jobs wait for others. One that is silent
   * does not count: it may be gone for good.
   */
  public boolean hasHeardOutdatedPeer() {
    for (Peer p : peers.values()) {
      if (p.last != null
          && !p.last.chains()
          && eventLoop.nowMs() - p.heardAt < PeerConstants.OLD_PEER_MS) {
        return true;
      }
    }
    return false;
  }

  /** Reports that peers heard lately say they get and redirect. */
  public long peersHearWorkers() {
    long heardReports = 0;
    for (Peer p : peers.values()) {
      if (isHeard(p)) {
        heardReports += p.last.reportsHeard();
      }
    }
    return heardReports;
  }
}
