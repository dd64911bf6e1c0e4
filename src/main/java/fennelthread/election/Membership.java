package fennelthread.election;

import fennelthread.constants.ElectionConstants;
import fennelthread.leader.Lease;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.net.Request;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How controllers notice that the leader is gone, and who comes next, before its grant runs out.
 * Peers of which a majority agrees that it is silent take over with one transaction; what keeps
 * that safe is in {@link LeadershipPromises}.
 */
public final class Membership {
  private static final Logger log = LoggerFactory.getLogger(Membership.class);
  private static final String AGREE = "/member/agree";

  private final EventLoop eventLoop;
  private final Settings settings;
  private final PeerHeartbeats peers;
  private final StateClient state;
  private final Replica replica;
  private final Lease lease;
  private final LeadershipPromises promises;
  private final UnilateralLeadership solo;
  private final LeaderView view = new LeaderView();
  private final List<String> members = new ArrayList<>();
  private boolean ready;
  private boolean asking;
  private long suspectedAtMs = -1;
  private long unpromisedAtMs = -1;
  private long enoughSinceMs = -1;
  private long takeovers;

  /** Creates it, and answers peers that ask. */
  public Membership(
      EventLoop eventLoop,
      Settings settings,
      PeerHeartbeats peers,
      StateClient state,
      Replica replica,
      Lease lease) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.peers = peers;
    this.state = state;
    this.replica = replica;
    this.lease = lease;
    this.promises = new LeadershipPromises(settings.peers().size() + 1);
    this.solo = new UnilateralLeadership(eventLoop, state);
    members.add(settings.member());
    settings.peers().forEach(s -> members.add(s.member()));
    Collections.sort(members);
    peers.serve("/member/", this::asked);
    peers.join(
        new PeerHeartbeats.Guest() {
          @Override
          public PeerHeartbeat answer(PeerHeartbeat asked, PeerHeartbeat answer) {
            return answer.promising(onHeartbeat(asked));
          }

          @Override
          public void acknowledged(String member, PeerHeartbeat reply, long sentAtMs) {
            Membership.this.acknowledged(member, reply, sentAtMs);
          }
        });
    replica.listen(
        (key, value, revision) -> {
          if (key.equals(Keys.EPOCH) && ready) {
            follow();
          }
        });
  }

  /** Begins to look. */
  public void start() {
    eventLoop.after(ElectionConstants.VIEW_MS, this::start);
    long now = eventLoop.nowMs();
    if (!ready) {
      if (replica.isReady()) {
        ready = true;
        view.born(lease.recordedEpoch(), replica.revision(), now);
      }
      return;
    }
    follow();
    if (lease.isLeading()) {
      lead(now);
    } else {
      watch(now);
    }
  }

  private void follow() {
    if (lease.recordedEpoch() > view.epoch()) {
      view.begin(lease.recordedEpoch(), eventLoop.nowMs());
      suspectedAtMs = -1;
    }
  }

  // ---------------------------------------------------------------- leading

  /** A term of ours begins. */
  public void elected(long epoch) {
    promises.begin(epoch);
    solo.begin();
    unpromisedAtMs = -1;
    enoughSinceMs = -1;
    // Promises come with the next heartbeats, and peers must have seen the epoch first.
    turn(true);
  }

  /** True if nobody can have taken over at this very moment. */
  public boolean backs() {
    return solo.isOn() || eventLoop.nowMs() < promises.untilMs();
  }

  private void acknowledged(String member, PeerHeartbeat reply, long sentAtMs) {
    if (!lease.isLeading()) {
      return;
    }
    promises.promised(member, reply.promised(), sentAtMs);
    if (reply.promised() == lease.epoch()) {
      unpromisedAtMs = -1;
    } else if (reply.promises() && reply.epoch() == lease.epoch() && unpromisedAtMs < 0) {
      unpromisedAtMs = eventLoop.nowMs();
    }
  }

  private void lead(long now) {
    boolean enough = promises.untilMs() - now > ElectionConstants.PROMISE_SPARE_MS;
    enoughSinceMs = !enough ? -1 : enoughSinceMs < 0 ? now : enoughSinceMs;
    if (!enough) {
      turn(true);
    } else if (mayStand() && now - enoughSinceMs > ElectionConstants.SOLO_AFTER_MS) {
      turn(false);
    } else if (!solo.isOn()
        && unpromisedAtMs >= 0
        && now - unpromisedAtMs > ElectionConstants.UNPROMISED_MS) {
      // A peer that may be bound by what it agreed to earlier: our word anew makes that void.
      unpromisedAtMs = -1;
      turn(false);
    }
  }

  /**
   * True if our word that we do without promises may stand: written, or found in the copy of the
   * state, since the answers to its writing or its cancellation were lost. As long as it stands
   * nobody can take over from us if we fall silent.
   */
  private boolean mayStand() {
    return solo.isOn() || soloEpoch() == lease.epoch();
  }

  private void turn(boolean on) {
    solo.turn(
        on,
        lease.epoch(),
        replica.revisionOf(Keys.SOLO),
        lease::fencedTxn,
        (txn, applied) -> replica.applied(txn, applied.revision()));
  }

  // ---------------------------------------------------------------- following

  private long onHeartbeat(PeerHeartbeat heartbeat) {
    return ready && heartbeat.leading() && !lease.isLeading()
        ? view.onHeartbeat(heartbeat.epoch(), replica.revisionOf(Keys.SOLO), eventLoop.nowMs())
        : 0;
  }

  private void watch(long now) {
    LeaderView.Phase before = view.phase();
    boolean suspect = view.look(now);
    if (before != view.phase()) {
      log.info(
          "leader of epoch {}: {} -> {}, silent for {} ms",
          view.epoch(),
          before,
          view.phase(),
          view.silentMs(now));
    }
    if (!suspect || !isTakeable()) {
      suspectedAtMs = -1;
      return;
    }
    suspectedAtMs = suspectedAtMs < 0 ? now : suspectedAtMs;
    // Without the state service nobody can claim: whoever is cut off with a peer asked it every
    // second.
    if (!asking
        && state.answersSoon(0)
        && now - suspectedAtMs >= rank() * ElectionConstants.HEIR_STEP_MS) {
      ask();
    }
  }

  /**
   * The leader of our view's epoch, if its record says that it minds promises and it has not gone
   * alone.
   */
  private boolean isTakeable() {
    return lease.isTakeoverPossible(view.epoch()) && soloEpoch() != view.epoch();
  }

  private long soloEpoch() {
    try {
      Fields word = replica.get(Keys.SOLO);
      return word == null ? 0 : word.count("epoch");
    } catch (WireException e) {
      return view.epoch();
    }
  }

  /**
   * How many others come before us: the heir is the next after the leader in the order of names.
   */
  private int rank() {
    int leader = members.indexOf(lease.leaderMember());
    int own = members.indexOf(settings.member());
    return Math.floorMod(own - leader - 1, members.size());
  }

  private void ask() {
    asking = true;
    long epoch = view.epoch();
    long revision = replica.revisionOf(Keys.SOLO);
    int[] agreed = {1};
    int[] open = {members.size() - 1};
    Fields question =
        Fields.create().with("from", settings.member()).with("epoch", epoch).with("solo", revision);
    for (Settings.Peer s : settings.peers()) {
      peers.call(
          s.member(),
          AGREE,
          question,
          ElectionConstants.AGREE_TIMEOUT_MS,
          answer -> {
            agreed[0] += agrees(answer) ? 1 : 0;
            if (--open[0] == 0 || agreed[0] == LeadershipPromises.majority(members.size())) {
              decide(epoch, revision, agreed[0]);
            }
          });
    }
    eventLoop.after(ElectionConstants.AGREE_PAUSE_MS, () -> asking = false);
  }

  private static boolean agrees(Answer answer) {
    try {
      return answer != null && answer.status() == 200 && answer.fields().optFlag("agree");
    } catch (WireException e) {
      return false;
    }
  }

  private void decide(long epoch, long revision, int agreed) {
    if (agreed < LeadershipPromises.majority(members.size())
        || lease.isLeading()
        || !isTakeable()
        || replica.revisionOf(Keys.SOLO) != revision
        || !view.agree(epoch, revision, eventLoop.nowMs())) {
      return;
    }
    takeovers++;
    log.info(
        "epoch {}: {} of {} agree that its leader {} is silent, {} ms here; taking over",
        epoch,
        agreed,
        members.size(),
        lease.leaderMember(),
        view.silentMs(eventLoop.nowMs()));
    lease.takeOver(epoch, revision);
  }

  private void asked(Request request, Consumer<Answer> reply) {
    try {
      Fields question = Codec.JSON.decode(request.body());
      long revision = question.count("solo");
      boolean agree =
          ready
              && !lease.isLeading()
              && replica.revisionOf(Keys.SOLO) <= revision
              && isTakeable()
              && view.agree(question.count("epoch"), revision, eventLoop.nowMs());
      if (agree) {
        log.info("epoch {}: we agree with {} to a takeover", view.epoch(), question.text("from"));
      }
      reply.accept(Answer.of(200, Codec.JSON, Fields.create().with("agree", agree)));
    } catch (WireException e) {
      reply.accept(Answer.of(400, Codec.JSON, Fields.create().with("error", e.getMessage())));
    }
  }

  /** Takeovers that this process has begun. */
  public long takeovers() {
    return takeovers;
  }
}
