package fennelthread.election;

import fennelthread.constants.ElectionConstants;
import fennelthread.leader.LeaderLease;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.net.Request;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.settings.Settings;
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
 * The follower's part of failover: promises the leader not to agree to a takeover, suspects it when
 * its heartbeats cease, asks the other controllers for agreement, and takes over with one
 * transaction once a majority agrees.
 */
final class TakeoverCoordinator {
  private static final Logger log = LoggerFactory.getLogger(TakeoverCoordinator.class);
  private static final String AGREEMENT_PATH = "/member/agree";
  private static final String FROM_FIELD = "from";
  private static final String EPOCH_FIELD = "epoch";
  private static final String DECLARATION_FIELD = "solo";
  private static final String AGREE_FIELD = "agree";

  private final EventLoop eventLoop;
  private final Settings settings;
  private final PeerHeartbeats peers;
  private final StateClient state;
  private final Replica replica;
  private final LeaderLease lease;
  private final UnilateralLeadership declaration;
  private final LeaderView view = new LeaderView();
  private final List<String> members = new ArrayList<>();
  private boolean isReplicaLoaded;
  private boolean isRequestingAgreement;
  private long suspectedSinceMs = ElectionConstants.NEVER;

  /** Creates the coordinator of one controller, for whenever it follows. */
  TakeoverCoordinator(
      EventLoop eventLoop,
      Settings settings,
      PeerHeartbeats peers,
      StateClient state,
      Replica replica,
      LeaderLease lease,
      UnilateralLeadership declaration) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.peers = peers;
    this.state = state;
    this.replica = replica;
    this.lease = lease;
    this.declaration = declaration;
    members.add(settings.member());
    settings.peers().forEach(peer -> members.add(peer.member()));
    Collections.sort(members);
  }

  /** True once the replica has been loaded; before that nothing is promised or agreed to. */
  boolean isReady() {
    return isReplicaLoaded;
  }

  /** Begins the view of the leader if the replica is loaded by now. */
  void beginIfReplicaLoaded() {
    if (replica.isReady()) {
      isReplicaLoaded = true;
      view.beginAfterRestart(lease.recordedEpoch(), replica.revision(), eventLoop.nowMs());
    }
  }

  /** Advances the view to the epoch that the replica records, if that is a later one. */
  void followRecordedEpoch() {
    if (lease.recordedEpoch() > view.epoch()) {
      view.beginEpoch(lease.recordedEpoch(), eventLoop.nowMs());
      suspectedSinceMs = ElectionConstants.NEVER;
    }
  }

  /**
   * Records a heartbeat of a peer.
   *
   * @return the epoch that this follower makes a promise for, 0 if it makes none
   */
  long promiseOnHeartbeat(PeerHeartbeat heartbeat) {
    return isReplicaLoaded && heartbeat.leading() && !lease.isLeading()
        ? view.promiseOnHeartbeat(
            heartbeat.epoch(), declaration.recordedRevision(), eventLoop.nowMs())
        : 0;
  }

  /**
   * Checks whether the leader is silent, and requests agreement when this controller's turn comes.
   */
  void checkLeader(long nowMs) {
    LeaderView.Phase before = view.phase();
    boolean isLeaderSilent = view.checkSilence(nowMs);
    if (before != view.phase()) {
      log.info(
          "leader view changed epoch={} from={} to={} silentMs={}",
          view.epoch(),
          before,
          view.phase(),
          view.silentMs(nowMs));
    }
    if (!isLeaderSilent || !isTakeoverAllowed()) {
      suspectedSinceMs = ElectionConstants.NEVER;
      return;
    }
    if (suspectedSinceMs == ElectionConstants.NEVER) {
      suspectedSinceMs = nowMs;
    }
    // No claim can succeed without the state service: a controller that is cut off from it together
    // with a peer would otherwise ask that peer every second.
    if (!isRequestingAgreement
        && state.canAnswerInTime(0)
        && nowMs - suspectedSinceMs >= successorRank() * ElectionConstants.SUCCESSOR_STEP_MS) {
      requestAgreement();
    }
  }

  /**
   * True if the leader of the viewed epoch starts tasks only under promises, and no declaration
   * that it acts without them is recorded.
   */
  private boolean isTakeoverAllowed() {
    return lease.isTakeoverPossible(view.epoch()) && !declaration.isRecordedFor(view.epoch());
  }

  /**
   * The number of controllers that take over before this one does. The order is that of the names,
   * cyclic, starting after the leader.
   */
  private int successorRank() {
    int leader = members.indexOf(lease.leaderMember());
    int own = members.indexOf(settings.member());
    return Math.floorMod(own - leader - 1, members.size());
  }

  private int majority() {
    return LeadershipPromises.majority(members.size());
  }

  private void requestAgreement() {
    isRequestingAgreement = true;
    AgreementRound round = new AgreementRound(view.epoch(), declaration.recordedRevision());
    Fields request =
        Fields.create()
            .with(FROM_FIELD, settings.member())
            .with(EPOCH_FIELD, round.epoch)
            .with(DECLARATION_FIELD, round.declarationRevision);
    for (Settings.Peer peer : settings.peers()) {
      peers.call(
          peer.member(),
          AGREEMENT_PATH,
          request,
          ElectionConstants.AGREEMENT_TIMEOUT_MS,
          round::onAnswer);
    }
    eventLoop.after(ElectionConstants.AGREEMENT_PAUSE_MS, () -> isRequestingAgreement = false);
  }

  /**
   * Counts the answers to one request for agreement, and takes over once a majority agrees. This
   * controller counts as agreeing.
   */
  private final class AgreementRound {
    private final long epoch;
    private final long declarationRevision;
    private int agreed = 1;
    private int unanswered = members.size() - 1;

    AgreementRound(long epoch, long declarationRevision) {
      this.epoch = epoch;
      this.declarationRevision = declarationRevision;
    }

    void onAnswer(Answer answer) {
      if (isAgreement(answer)) {
        agreed++;
      }
      unanswered--;
      if (unanswered == 0 || agreed == majority()) {
        takeOverIfAgreed();
      }
    }

    private void takeOverIfAgreed() {
      if (agreed < majority()
          || lease.isLeading()
          || !isTakeoverAllowed()
          || declaration.recordedRevision() != declarationRevision
          || !view.agreeToTakeover(epoch, declarationRevision, eventLoop.nowMs())) {
        return;
      }
      log.info(
          "taking over from silent leader epoch={} leader={} agreed={} controllers={} silentMs={}",
          epoch,
          lease.leaderMember(),
          agreed,
          members.size(),
          view.silentMs(eventLoop.nowMs()));
      lease.takeOver(epoch, declarationRevision);
    }
  }

  private static boolean isAgreement(Answer answer) {
    try {
      return answer != null && answer.status() == 200 && answer.fields().optFlag(AGREE_FIELD);
    } catch (WireException e) {
      return false;
    }
  }

  /** Answers a peer that asks for agreement to a takeover. */
  void handleAgreementRequest(Request request, Consumer<Answer> reply) {
    try {
      Fields fields = Codec.JSON.decode(request.body());
      long declarationRevision = fields.count(DECLARATION_FIELD);
      boolean agree =
          isReplicaLoaded
              && !lease.isLeading()
              && declaration.recordedRevision() <= declarationRevision
              && isTakeoverAllowed()
              && view.agreeToTakeover(
                  fields.count(EPOCH_FIELD), declarationRevision, eventLoop.nowMs());
      if (agree) {
        log.info("agreed to takeover epoch={} candidate={}", view.epoch(), fields.text(FROM_FIELD));
      }
      reply.accept(Answer.of(200, Codec.JSON, Fields.create().with(AGREE_FIELD, agree)));
    } catch (WireException e) {
      reply.accept(Answer.of(400, Codec.JSON, Fields.create().with("error", e.getMessage())));
    }
  }
}
