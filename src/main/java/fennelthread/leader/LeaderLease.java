package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state machine of this controller's leadership. Leadership takes a time-limited lease at the
 * state service and an epoch, which rises at each claim, never expires and serves as fencing token.
 *
 * <p>{@link ClaimSchedule} says when to claim, {@link LeadershipClaim} submits the claim, {@link
 * LeaderLeaseRenewer} keeps the lease alive and tracks its local expiry. Used on the event loop's
 * thread.
 */
public final class LeaderLease {
  private static final Logger log = LoggerFactory.getLogger(LeaderLease.class);

  /** Whether this controller leads. */
  private enum Phase {
    /** Another controller leads, or nobody does yet. */
    FOLLOWING,
    /** A claim is in flight. */
    CLAIMING,
    /** The claim was applied. The local lease may have expired since. */
    LEADING
  }

  /** Receives changes of this controller's leadership. */
  public interface Listener {
    /** The claim of {@code epoch} was applied at the state service, but not yet to the replica. */
    void onElected(long epoch);

    /** This controller no longer leads; {@code reason} is for the log. */
    void onSteppedDown(String reason);
  }

  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final LeaderRecordReader records;
  private final LeadershipClaim claim;
  private final ClaimSchedule schedule;
  private final LeaderLeaseRenewer renewal;
  private final PeerKnowledge peers;
  private final Listener listener;
  private final String member;
  private Phase phase = Phase.FOLLOWING;
  private long epoch;
  private long epochRevision;
  private long highestEpoch;
  private long unboundedEpoch;

  /**
   * Creates the lease of one process, which follows at first.
   *
   * @param incarnation distinguishes the process from earlier ones of the same member
   */
  public LeaderLease(
      EventLoop eventLoop,
      StateClient state,
      Replica replica,
      Settings settings,
      Options options,
      String incarnation,
      PeerKnowledge peers,
      Listener listener) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.replica = replica;
    this.records = new LeaderRecordReader(replica);
    this.peers = peers;
    this.listener = listener;
    this.member = settings.member();
    this.schedule = new ClaimSchedule(eventLoop, state, member, incarnation, new VacancyClaimant());
    this.claim = new LeadershipClaim(eventLoop, state, replica, member, incarnation);
    this.renewal = new LeaderLeaseRenewer(eventLoop, state, settings, options, new RenewalOwner());
    replica.addListener(this::onRecordChanged);
  }

  // ---------------------------------------------------------------- queries

  /** True from an applied claim to the step-down, even while the local lease has expired. */
  public boolean isLeading() {
    return phase == Phase.LEADING;
  }

  /**
   * True if tasks may be started now: the local lease is valid and no peer can have become leader.
   */
  public boolean mayStartTasks() {
    return phase == Phase.LEADING && renewal.isLocallyValid() && peers.excludesOtherLeader();
  }

  /** The epoch of this controller's own term; only meaningful while it leads. */
  public long epoch() {
    return epoch;
  }

  /** The lease at the state service that this controller holds or held last; 0 before the first. */
  public long storeLeaseId() {
    return renewal.storeLeaseId();
  }

  /** The revision of the epoch record that all of this leader's writes are conditional on. */
  public long epochRevision() {
    return epochRevision;
  }

  /**
   * The last epoch before this controller's own whose leader may answer reports for an unbounded
   * time, 0 if there is none; only meaningful while leading.
   */
  public long unboundedEpoch() {
    return unboundedEpoch;
  }

  /** The highest epoch observed from anyone: the state service, peers or workers. */
  public long highestEpoch() {
    return highestEpoch;
  }

  /** The member that leads as far as this controller knows, or null. */
  public String leaderMember() {
    return phase == Phase.LEADING
        ? member
        : records.leader().map(LeaderRecord::member).orElse(null);
  }

  /** The epoch of {@link #leaderMember}, 0 if nobody leads as far as this controller knows. */
  public long leaderEpoch() {
    return phase == Phase.LEADING ? epoch : records.leader().map(LeaderRecord::epoch).orElse(0L);
  }

  /** The epoch in the replica's epoch record; 0 before the first or if it can't be read. */
  public long recordedEpoch() {
    return records.recordedEpoch();
  }

  // ---------------------------------------------------------------- fencing

  /**
   * An empty transaction that is refused once another controller has claimed a higher epoch. All
   * writes of a leader begin with it.
   */
  public Txn fencedTxn() {
    return new Txn().requireRevision(Keys.EPOCH, epochRevision);
  }

  /** Steps down if a fenced transaction failed because the epoch has moved on. */
  void onTxnRejected(TxnResult result) {
    if (result instanceof TxnResult.Conflict conflict
        && conflict.failedKeys().contains(Keys.EPOCH)) {
      stepDown("transaction fenced off", 0);
    }
  }

  /** Records an observed epoch; a leader of a lower epoch steps down at once. */
  public void observeEpoch(long observed) {
    highestEpoch = Math.max(highestEpoch, observed);
    if (phase == Phase.LEADING && observed > epoch) {
      stepDown("higher epoch " + observed + " observed", 0);
    }
  }

  /** Describes a rejected transaction for the log. */
  static String describeRejection(TxnResult result) {
    if (result instanceof TxnResult.Conflict conflict) {
      return "conflict on " + String.join(" ", conflict.failedKeys());
    }
    return result instanceof TxnResult.Refused refused
        ? "refused: " + refused.reason()
        : result.getClass().getSimpleName();
  }

  private void onRecordChanged(String key, Fields value, long revision) {
    if (key.equals(Keys.EPOCH) && value != null) {
      try {
        observeEpoch(EpochRecord.decode(value).epoch());
      } catch (WireException e) {
        log.error("record unreadable key={} reason={}", key, e.getMessage());
      }
    } else if (key.equals(Keys.LEADER)) {
      if (phase == Phase.LEADING && value == null && revision > epochRevision) {
        stepDown("lease at the state service expired", 0);
      }
      claimIfVacant();
    }
  }

  // ---------------------------------------------------------------- changes of phase

  /** The only place where the phase changes. */
  private void transitionTo(Phase next, String reason) {
    boolean allowed =
        switch (phase) {
          case FOLLOWING -> next == Phase.CLAIMING;
          case CLAIMING -> next == Phase.LEADING || next == Phase.FOLLOWING;
          case LEADING -> next == Phase.FOLLOWING;
        };
    if (!allowed) {
      throw new IllegalStateException(
          "illegal transition of the leadership: " + phase + " -> " + next);
    }
    log.info("leadership changed from={} to={} epoch={} reason={}", phase, next, epoch, reason);
    phase = next;
  }

  /** Stops leading, if it does; claims again no sooner than {@code pauseMs} from now. */
  public void stepDown(String reason, long pauseMs) {
    if (phase != Phase.LEADING) {
      return;
    }
    schedule.postponeClaims(pauseMs);
    renewal.invalidate();
    long heldLeaseId = renewal.storeLeaseId();
    transitionTo(Phase.FOLLOWING, reason);
    state.revokeLease(heldLeaseId, revocation -> {});
    listener.onSteppedDown(reason);
    schedule.recheckVacancyAfter(pauseMs + ProtocolConstants.STATE_RETRY_DELAY_MS);
  }

  /**
   * Schedules a claim if nobody leads. If the recorded leader is an earlier process of this member,
   * its lease is revoked instead of waited for.
   */
  public void claimIfVacant() {
    if (phase != Phase.FOLLOWING || !replica.isReady()) {
      return;
    }
    if (records.hasLeader()) {
      records
          .leader()
          .ifPresentOrElse(
              schedule::revokePredecessorLease,
              () -> log.error("record unreadable key={}", Keys.LEADER));
    } else {
      schedule.scheduleClaim();
    }
  }

  /**
   * True if another member leads under this epoch, and its version starts tasks only while it holds
   * its peers' promises. Only then is it safe for a majority to replace it before its lease
   * expires.
   */
  public boolean isTakeoverPossible(long ofEpoch) {
    return phase == Phase.FOLLOWING
        && replica.isReady()
        && records
            .leader()
            .filter(leader -> leader.epoch() == ofEpoch)
            .filter(leader -> leader.honorsPromises() && !leader.member().equals(member))
            .isPresent();
  }

  /**
   * Claims the leadership from a silent leader whose lease has not expired; does nothing if the
   * takeover is not possible or a higher epoch was observed.
   *
   * @param fromEpoch the leader's epoch, which a majority has agreed to end
   * @param unilateralRevision the revision that the leader's declaration of unilateral leadership
   *     had when they agreed
   */
  public void takeOver(long fromEpoch, long unilateralRevision) {
    if (isTakeoverPossible(fromEpoch) && highestEpoch == fromEpoch) {
      startClaim(
          "leader silent",
          new Txn()
              .requireRevision(Keys.LEADER, replica.revisionOf(Keys.LEADER))
              .requireRevision(Keys.UNILATERAL_LEADERSHIP, unilateralRevision));
    }
  }

  private void startClaim(String reason, Txn conditions) {
    transitionTo(Phase.CLAIMING, reason);
    long sentAtMs = eventLoop.nowMs();
    claim.submit(
        renewal.storeTtlMs(),
        conditions,
        new ClaimEpochs(),
        outcome -> {
          if (outcome instanceof LeadershipClaim.Outcome.Committed committed) {
            onClaimCommitted(committed, sentAtMs);
          } else if (outcome instanceof LeadershipClaim.Outcome.Failed failed) {
            onClaimFailed(failed.reason());
          }
        });
  }

  private final class VacancyClaimant implements ClaimSchedule.Claimant {
    @Override
    public void onClaimDue() {
      if (phase == Phase.FOLLOWING && replica.isReady() && !records.hasLeader()) {
        startClaim("no leader", new Txn().requireRevision(Keys.LEADER, 0));
      }
    }

    @Override
    public void claimIfVacant() {
      LeaderLease.this.claimIfVacant();
    }
  }

  private final class ClaimEpochs implements LeadershipClaim.EpochSource {
    @Override
    public long nextEpoch() {
      return highestEpoch + 1;
    }

    @Override
    public long unboundedEpoch() {
      long last = records.unboundedEpoch();
      return last == 0 || last == LeaderConstants.UNKNOWN_EPOCH
          ? last
          : peers.epochIfUnbounded(last);
    }
  }

  private void onClaimFailed(String reason) {
    transitionTo(Phase.FOLLOWING, reason);
    schedule.recheckVacancyAfter(
        (long) (ProtocolConstants.STATE_RETRY_DELAY_MS * (0.5 + eventLoop.random().nextDouble())));
  }

  private void onClaimCommitted(LeadershipClaim.Outcome.Committed committed, long sentAtMs) {
    long claimedEpoch = committed.epoch();
    epoch = claimedEpoch;
    epochRevision = committed.epochRevision();
    unboundedEpoch = committed.unboundedEpoch();
    renewal.begin(committed.storeLeaseId(), sentAtMs);
    highestEpoch = Math.max(highestEpoch, claimedEpoch);
    transitionTo(Phase.LEADING, "claim committed");
    listener.onElected(claimedEpoch);
    replica.applyCommitted(committed.txn(), committed.epochRevision());
    // The listener, or a change that reached the replica, may have ended the term already.
    if (isLeadingUnder(claimedEpoch)) {
      renewal.scheduleFirstRenewal(claimedEpoch);
    }
  }

  private boolean isLeadingUnder(long ofEpoch) {
    return phase == Phase.LEADING && epoch == ofEpoch;
  }

  private final class RenewalOwner implements LeaderLeaseRenewer.Owner {
    @Override
    public boolean isLeadingUnder(long ofEpoch) {
      return LeaderLease.this.isLeadingUnder(ofEpoch);
    }

    @Override
    public void onStoreLeaseExpired() {
      stepDown("lease at the state service expired", 0);
    }
  }
}
