package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.LeaseGrant;
import fennelthread.state.LeaseRenewal;
import fennelthread.state.Replica;
import fennelthread.state.RequestPriority;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.function.BooleanSupplier;
import java.util.function.LongUnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The epoch lease. The leader's key is bound to a grant; the epoch's key is not, and rises at each
 * claim. The local lease is counted from a clock reading taken <em>before</em> the claim or renewal
 * was sent, so that it ends before the grant does, however long the request took.
 */
public final class Lease {
  private static final Logger log = LoggerFactory.getLogger(Lease.class);

  /** Where this controller stands. */
  public enum Phase {
    /** Another controller leads, or nobody does yet. */
    FOLLOWING,
    /** A claim is under way. */
    CLAIMING,
    /** The claim was applied. The local lease may be over all the same. */
    LEADING
  }

  /** Told when leading begins and ends. */
  public interface Listener {
    /** The claim was applied; nothing was read yet. */
    void elected(long epoch, long epochRevision);

    /** Leading is over. */
    void deposed(String why);
  }

  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final Listener listener;
  private final BooleanSupplier backed;
  private final LongUnaryOperator stillUnbounded;
  private final String member;
  private final String incarnation;
  private final long ttlMs;
  private final long leaseMs;
  private Phase phase = Phase.FOLLOWING;
  private long epoch;
  private long epochRevision;
  private long highestEpoch;
  private long unboundedEpoch;
  private long storeLeaseId;
  private long leaseUntil = Long.MIN_VALUE;
  private long notBefore;
  private boolean claimPlanned;
  private boolean endingOld;

  /**
   * Creates the lease of one process.
   *
   * @param incarnation tells it from its predecessors
   * @param backed whether nobody can have taken over before the grant's end
   * @param stillUnbounded told the last epoch whose leader was of a version that answers reports
   *     for as long as it hears of no later one, gives 0 if that one is known not to any more
   */
  public Lease(
      EventLoop eventLoop,
      StateClient state,
      Replica replica,
      Settings settings,
      Options options,
      String incarnation,
      BooleanSupplier backed,
      LongUnaryOperator stillUnbounded,
      Listener listener) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.replica = replica;
    this.listener = listener;
    this.backed = backed;
    this.stillUnbounded = stillUnbounded;
    this.member = settings.member();
    this.incarnation = incarnation;
    this.ttlMs =
        options.grantMs() > 0
            ? options.grantMs()
            : Math.min(
                10_000,
                Math.max(
                    2_000,
                    (long) (settings.workers().leaseMs() * LeaderConstants.GRANT_SHARE_OF_LEASE)));
    this.leaseMs =
        (long) (ttlMs * (1 - 2 * ProtocolConstants.CLOCK_DRIFT))
            - ProtocolConstants.LEASE_MARGIN_MS;
    replica.addListener((key, value, revision) -> observe(key, value, revision));
  }

  /** True between claim and step-down, even while the local lease is over. */
  public boolean isLeading() {
    return phase == Phase.LEADING;
  }

  /** True if starts may be sent at this very moment. */
  public boolean mayStart() {
    return phase == Phase.LEADING && eventLoop.nowMs() < leaseUntil && backed.getAsBoolean();
  }

  /** Our epoch; only meaningful while leading. */
  public long epoch() {
    return epoch;
  }

  /** The grant that we hold or held last. */
  public long storeLeaseId() {
    return storeLeaseId;
  }

  /** The revision of the epoch's key that all our writes are conditional on. */
  public long epochRevision() {
    return epochRevision;
  }

  /**
   * The last epoch before ours whose leader may answer reports without bound, 0 if there is none;
   * only meaningful while leading.
   */
  public long unboundedEpoch() {
    return unboundedEpoch;
  }

  /** A transaction that is refused once another controller has claimed: all our writes are such. */
  public Txn fenced() {
    return new Txn().when(Keys.EPOCH, epochRevision);
  }

  /** Looks at why a fenced transaction failed: if the epoch has moved on, leading is over. */
  void refused(TxnResult result) {
    if (result instanceof TxnResult.Conflict c && c.failed().contains(Keys.EPOCH)) {
      stepDown("the epoch has moved on", 0);
    }
  }

  /** The highest epoch heard of from anyone. */
  public long highestEpoch() {
    return highestEpoch;
  }

  /** The member that leads as far as we know, or null. */
  public String leaderMember() {
    if (phase == Phase.LEADING) {
      return member;
    }
    try {
      Fields lead = replica.get(Keys.LEADER);
      return lead == null ? null : lead.text("member");
    } catch (WireException e) {
      return null;
    }
  }

  /** The epoch of {@link #leaderMember}, 0 if nobody leads as far as we know. */
  public long leaderEpoch() {
    if (phase == Phase.LEADING) {
      return epoch;
    }
    try {
      Fields lead = replica.get(Keys.LEADER);
      return lead == null ? 0 : lead.count("epoch");
    } catch (WireException e) {
      return 0;
    }
  }

  /** The highest epoch that our copy of the state has reached, 0 before the first. */
  public long recordedEpoch() {
    try {
      Fields known = replica.get(Keys.EPOCH);
      return known == null ? 0 : known.count("epoch");
    } catch (WireException e) {
      return 0;
    }
  }

  /** Takes note of an epoch; a leader of an older one stops at once. */
  public void observeEpoch(long other) {
    highestEpoch = Math.max(highestEpoch, other);
    if (phase == Phase.LEADING && other > epoch) {
      stepDown("epoch " + other + " was claimed", 0);
    }
  }

  /** Stops leading; claims again only after {@code pauseMs}. */
  public void stepDown(String why, long pauseMs) {
    if (phase != Phase.LEADING) {
      return;
    }
    notBefore = eventLoop.nowMs() + pauseMs;
    leaseUntil = Long.MIN_VALUE;
    long old = storeLeaseId;
    moveTo(Phase.FOLLOWING, why);
    state.revokeLease(old, revocation -> {});
    listener.deposed(why);
    eventLoop.after(pauseMs + ProtocolConstants.RETRY_MS, this::consider);
  }

  private void moveTo(Phase next, String why) {
    boolean allowed =
        switch (phase) {
          case FOLLOWING -> next == Phase.CLAIMING;
          case CLAIMING -> next == Phase.LEADING || next == Phase.FOLLOWING;
          case LEADING -> next == Phase.FOLLOWING;
        };
    if (!allowed) {
      throw new IllegalStateException(phase + " -> " + next);
    }
    log.info("{} -> {} (epoch {}): {}", phase, next, epoch, why);
    phase = next;
  }

  private void observe(String key, Fields value, long revision) {
    try {
      if (key.equals(Keys.EPOCH) && value != null) {
        observeEpoch(value.count("epoch"));
      } else if (key.equals(Keys.LEADER)) {
        if (phase == Phase.LEADING && value == null && revision > epochRevision) {
          stepDown("the grant has ended", 0);
        }
        consider();
      }
    } catch (WireException e) {
      log.error("unreadable {}: {}", key, e.getMessage());
    }
  }

  /** Claims if nobody leads; ends the grant of this controller's own dead predecessor. */
  public void consider() {
    if (phase != Phase.FOLLOWING || !replica.isReady()) {
      return;
    }
    Fields lead = replica.get(Keys.LEADER);
    if (lead != null) {
      endPredecessor(lead);
      return;
    }
    if (claimPlanned) {
      return;
    }
    claimPlanned = true;
    long wait = Math.max(0, notBefore - eventLoop.nowMs());
    eventLoop.after(
        wait + (long) (LeaderConstants.CLAIM_SPREAD_MS * eventLoop.random().nextDouble()),
        () -> {
          claimPlanned = false;
          if (phase == Phase.FOLLOWING && replica.isReady() && replica.get(Keys.LEADER) == null) {
            claim();
          }
        });
  }

  private void endPredecessor(Fields lead) {
    try {
      if (endingOld
          || !lead.text("member").equals(member)
          || lead.text("incarnation").equals(incarnation)) {
        return;
      }
      endingOld = true;
      if (Math.abs(eventLoop.wallMs() - lead.count("at_ms", 0)) < LeaderConstants.FLAPPING_MS) {
        // Our predecessor ended soon after its claim, and so may we: whoever runs well goes first.
        // A process
        // that ends at once each time would otherwise lead for ever, a moment at a time.
        notBefore = Math.max(notBefore, eventLoop.nowMs() + LeaderConstants.FLAPPING_PAUSE_MS);
      }
      state.revokeLease(
          lead.count("permiso"),
          revocation -> {
            endingOld = false;
            if (!revocation.isConfirmed()) {
              eventLoop.after(ProtocolConstants.RETRY_MS, this::consider);
            }
          });
    } catch (WireException e) {
      log.error("unreadable leader record: {}", e.getMessage());
    }
  }

  private void claim() {
    claim("nobody leads", new Txn().when(Keys.LEADER, 0));
  }

  /** True if the leader of this epoch is another and says in its record that it minds promises. */
  public boolean mayBeTaken(long ofEpoch) {
    try {
      Fields lead = replica.get(Keys.LEADER);
      return phase == Phase.FOLLOWING
          && replica.isReady()
          && lead != null
          && lead.count("epoch") == ofEpoch
          && lead.optFlag("promises")
          && !lead.text("member").equals(member);
    } catch (WireException e) {
      return false;
    }
  }

  /**
   * Claims from a leader whose grant still runs: a majority has agreed to it while the leader's
   * word about going alone had {@code soloRevision}.
   */
  public void takeOver(long fromEpoch, long soloRevision) {
    if (mayBeTaken(fromEpoch) && highestEpoch == fromEpoch) {
      claim(
          "the leader is silent",
          new Txn()
              .when(Keys.LEADER, replica.revisionOf(Keys.LEADER))
              .when(Keys.UNILATERAL_LEADERSHIP, soloRevision));
    }
  }

  private void claim(String why, Txn conditions) {
    moveTo(Phase.CLAIMING, why);
    long t0 = eventLoop.nowMs();
    state.createLease(
        ttlMs,
        grant -> {
          if (!(grant instanceof LeaseGrant.Granted granted)) {
            giveUp("no grant");
            return;
          }
          long id = granted.leaseId();
          long next = Math.max(highestEpoch, 0) + 1;
          long unbounded = unboundedBefore();
          Txn txn =
              conditions
                  .when(Keys.EPOCH, replica.revisionOf(Keys.EPOCH))
                  .writeWithLease(
                      Keys.LEADER,
                      Fields.create()
                          .with("member", member)
                          .with("incarnation", incarnation)
                          .with("epoch", next)
                          .with("permiso", id)
                          .with("promises", true)
                          .with("at_ms", eventLoop.wallMs()),
                      id)
                  .write(
                      Keys.EPOCH,
                      Fields.create()
                          .with("epoch", next)
                          .with("keeps", true)
                          .with("unbounded", unbounded));
          state.txn(
              RequestPriority.INTERACTIVE,
              txn,
              result -> {
                if (result instanceof TxnResult.Applied applied) {
                  unboundedEpoch = unbounded;
                  won(next, applied.revision(), id, t0, txn);
                } else {
                  // Without an answer the claim may still be applied: ending its grant undoes it.
                  state.revokeLease(id, revocation -> {});
                  giveUp(result.toString());
                }
              });
        });
  }

  /**
   * The same for the epoch that is about to be claimed; the claim is conditional on what this
   * reads.
   */
  private long unboundedBefore() {
    try {
      Fields known = replica.get(Keys.EPOCH);
      if (known == null) {
        return 0;
      }
      long last = known.optFlag("keeps") ? known.count("unbounded", 0) : known.count("epoch");
      return last == 0 ? 0 : stillUnbounded.applyAsLong(last);
    } catch (WireException e) {
      return Long.MAX_VALUE;
    }
  }

  private void giveUp(String why) {
    moveTo(Phase.FOLLOWING, why);
    eventLoop.after(
        (long) (ProtocolConstants.RETRY_MS * (0.5 + eventLoop.random().nextDouble())),
        this::consider);
  }

  private void won(long next, long revision, long id, long t0, Txn txn) {
    epoch = next;
    epochRevision = revision;
    storeLeaseId = id;
    leaseUntil = t0 + leaseMs;
    highestEpoch = Math.max(highestEpoch, next);
    moveTo(Phase.LEADING, "claimed");
    listener.elected(epoch, epochRevision);
    replica.applyCommitted(txn, revision);
    if (phase == Phase.LEADING && epoch == next) {
      eventLoop.after(ttlMs / LeaderConstants.RENEWALS_PER_GRANT, () -> renew(next));
    }
  }

  private void renew(long of) {
    if (phase != Phase.LEADING || epoch != of) {
      return;
    }
    long t0 = eventLoop.nowMs();
    state.renewLease(
        storeLeaseId,
        renewal -> {
          if (phase != Phase.LEADING || epoch != of) {
            return;
          }
          if (renewal == LeaseRenewal.EXPIRED) {
            stepDown("the grant has ended", 0);
            return;
          }
          boolean good = renewal == LeaseRenewal.RENEWED;
          if (good) {
            leaseUntil = Math.max(leaseUntil, t0 + leaseMs);
          }
          long spent = eventLoop.nowMs() - t0;
          long pause =
              good ? ttlMs / LeaderConstants.RENEWALS_PER_GRANT : ProtocolConstants.RETRY_MS / 2;
          eventLoop.after(Math.max(20, pause - spent), () -> renew(of));
        });
  }
}
