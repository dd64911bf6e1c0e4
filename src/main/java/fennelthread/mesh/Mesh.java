package fennelthread.mesh;

import fennelthread.Constants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.Host;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What controllers tell one another: greetings in JSON. A greeting that names an epoch acknowledges
 * it: from then on its sender answers no report for an older one.
 */
public final class Mesh implements Service {
  private static final Logger log = LoggerFactory.getLogger(Mesh.class);

  /** What a greeting says of its sender. */
  public record Greeting(
      String member,
      String incarnation,
      long epoch,
      boolean leading,
      long servedAgoMs,
      long beatsHeard,
      Map<String, String> workers) {

    Fields write() {
      return Fields.create()
          .with("member", member)
          .with("incarnation", incarnation)
          .with("epoch", epoch)
          .with("leading", leading)
          .with("served_ago_ms", servedAgoMs)
          .with("beats_heard", beatsHeard)
          .with("workers", workers);
    }

    static Greeting read(Fields f) throws WireException {
      Map<String, String> workers = new LinkedHashMap<>();
      if (f.has("workers")) {
        for (Map.Entry<String, Object> e : f.inner("workers").map().entrySet()) {
          if (e.getValue() instanceof String address) {
            workers.put(e.getKey(), address);
          }
        }
      }
      return new Greeting(
          f.text("member"),
          f.text("incarnation"),
          f.count("epoch"),
          f.flag("leading"),
          f.count("served_ago_ms"),
          f.count("beats_heard"),
          workers);
    }
  }

  private static final class Peer {
    final Settings.Sibling sibling;
    Greeting last;
    long heardAt = Long.MIN_VALUE / 2;
    long epochSince = Long.MAX_VALUE;
    boolean greeting;

    Peer(Settings.Sibling sibling) {
      this.sibling = sibling;
    }
  }

  private final Host host;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private final java.util.function.Supplier<Greeting> self;
  private final Consumer<Greeting> heard;
  private long malformed;

  /** Creates the mesh of one controller. */
  public Mesh(
      Host host,
      Settings settings,
      java.util.function.Supplier<Greeting> self,
      Consumer<Greeting> heard) {
    this.host = host;
    this.self = self;
    this.heard = heard;
    settings.siblings().forEach(s -> peers.put(s.member(), new Peer(s)));
  }

  /** Begins to greet. */
  public void start() {
    greetAll();
    host.after(
        (long) (Constants.HAIL_MS * (1 + Constants.JITTER * host.random().nextDouble())),
        this::start);
  }

  /** Greets all siblings now: after a claim, every moment counts. */
  public void greetAll() {
    peers.values().forEach(this::greet);
  }

  private void greet(Peer peer) {
    if (peer.greeting) {
      return;
    }
    peer.greeting = true;
    host.call(
        peer.sibling.addr(),
        Call.post("/hail", Codec.JSON, self.get().write()),
        Constants.HAIL_TIMEOUT_MS,
        answer -> {
          peer.greeting = false;
          if (answer != null && answer.status() == 200) {
            try {
              took(Greeting.read(Codec.JSON.decode(answer.body())));
            } catch (WireException e) {
              malformed++;
              log.info("malformed greeting of {}: {}", peer.sibling.member(), e.getMessage());
            }
          }
        });
  }

  @Override
  public void handle(Request request, Consumer<Answer> reply) {
    if (!request.path().equals("/hail")) {
      reply.accept(Answer.of(404, Codec.JSON, Fields.create().with("error", "unknown path")));
      return;
    }
    if (!request.method().equals("POST")) {
      reply.accept(Answer.of(405, Codec.JSON, Fields.create().with("error", "use POST")));
      return;
    }
    try {
      took(Greeting.read(Codec.JSON.decode(request.body())));
    } catch (WireException e) {
      malformed++;
      reply.accept(Answer.of(400, Codec.JSON, Fields.create().with("error", e.getMessage())));
      return;
    }
    // After taking note: the answer acknowledges the epoch that was just heard.
    reply.accept(Answer.of(200, Codec.JSON, self.get().write()));
  }

  private void took(Greeting greeting) {
    Peer peer = peers.get(greeting.member());
    if (peer == null) {
      return;
    }
    long now = host.nowMs();
    if (peer.last == null || greeting.epoch() > peer.last.epoch()) {
      peer.epochSince = now;
    } else if (greeting.epoch() < peer.last.epoch()
        && greeting.incarnation().equals(peer.last.incarnation())) {
      // A packet that was held back: it says nothing of the present.
      return;
    } else if (greeting.epoch() < peer.last.epoch()) {
      peer.epochSince = Long.MAX_VALUE;
    }
    peer.last = greeting;
    peer.heardAt = now;
    heard.accept(greeting);
  }

  /**
   * Since when every sibling has acknowledged {@code epoch}, or {@code Long.MAX_VALUE} while one has
   * not: it counts as still answering reports for an older one.
   */
  public long acknowledgedSince(long epoch) {
    long since = Long.MIN_VALUE;
    for (Peer p : peers.values()) {
      if (p.last == null || p.last.epoch() < epoch) {
        return Long.MAX_VALUE;
      }
      since = Math.max(since, p.epochSince);
    }
    return since;
  }

  /**
   * True if the state service has answered some sibling after {@code time}. A sibling's word that it
   * is served is not enough: in an outage that has just begun, it may not have noticed yet.
   */
  public boolean siblingServedAfter(long time) {
    return peers.values().stream()
        .anyMatch(p -> p.last != null && p.heardAt - p.last.servedAgoMs() > time);
  }

  /** Reports that siblings heard lately say they get and redirect. */
  public long siblingsHearBeats() {
    long heardBeats = 0;
    for (Peer p : peers.values()) {
      if (p.last != null && host.nowMs() - p.heardAt < Constants.SIBLING_SILENT_MS) {
        heardBeats += p.last.beatsHeard();
      }
    }
    return heardBeats;
  }
}
