package fennelthread.leaserenewal;

import fennelthread.peers.PeerHeartbeat;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Up to when this controller knows of every cancellation that anyone was told of. The state service
 * says so; in an outage of it nobody can be told of a new one, which the peers together say as
 * well: each tells what it may have told its users, and what it can't have known it can't have
 * told.
 *
 * <p>A new process says nothing of what its predecessor told before it ended. Its word counts only
 * once the state service was read after it was first heard.
 */
public final class CancellationWatermark {
  private static final class Peer {
    String incarnation;
    long bornAtMs = Long.MAX_VALUE;
    long taken;
    long spokeAtMs = Long.MIN_VALUE / 2;
  }

  private final LongSupplier readAtMs;
  private final CancellationLog cancellations;
  private final Map<String, Peer> peers = new HashMap<>();

  /** Creates it; {@code readAtMs} is when what our copy of the state holds was asked for. */
  CancellationWatermark(
      LongSupplier readAtMs, Iterable<String> members, CancellationLog cancellations) {
    this.readAtMs = readAtMs;
    this.cancellations = cancellations;
    members.forEach(m -> peers.put(m, new Peer()));
  }

  /** The moment until which everything is known, ms of our clock. */
  public long knownUntilMs() {
    long read = readAtMs.getAsLong();
    // Alone, whoever was told anything was told by us.
    long together = Long.MAX_VALUE / 2;
    for (Peer s : peers.values()) {
      together = Math.min(together, s.bornAtMs < read ? s.spokeAtMs : Long.MIN_VALUE / 2);
    }
    return Math.max(read, together);
  }

  /** How far a peer's log is known: what is to be asked for next. */
  long taken(String member) {
    return peers.get(member).taken;
  }

  /**
   * A peer has answered our heartbeat of {@code sentAtMs}, which asked for what follows the known.
   */
  void answered(String member, PeerHeartbeat reply, long sentAtMs, long nowMs) {
    Peer s = peers.get(member);
    PeerHeartbeat.Keep said = reply.keep();
    if (s == null || said == null) {
      return;
    }
    said.cancelled().forEach(cancellations::over);
    boolean gap = !said.all() && said.cancelled().isEmpty();
    if (gap || !reply.incarnation().equals(s.incarnation)) {
      // Its log begins anew for us: what came before, only the state service can say.
      s.incarnation = reply.incarnation();
      s.bornAtMs = nowMs;
      s.taken = said.to();
      s.spokeAtMs = Long.MIN_VALUE / 2;
    } else if (said.to() >= s.taken) {
      s.taken = said.to();
      s.spokeAtMs = said.all() ? Math.max(s.spokeAtMs, sentAtMs) : s.spokeAtMs;
    }
  }
}
