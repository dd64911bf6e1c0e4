package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.state.StateClient;

/**
 * Decides when a follower claims a vacant leadership: after a random wait, later after it has
 * stepped down or seems to be in a crash loop. Revokes the lease of an earlier process of the same
 * member, so that its expiry need not be waited for.
 */
final class ClaimSchedule {
  /** The state machine that claims. */
  interface Claimant {
    /** Called when a scheduled claim is due; the leadership may have been taken meanwhile. */
    void onClaimDue();

    /** Called when the vacancy is to be checked once more. */
    void claimIfVacant();
  }

  private final EventLoop eventLoop;
  private final StateClient state;
  private final String member;
  private final String incarnation;
  private final Claimant claimant;
  private long earliestClaimMs;
  private boolean isScheduled;
  private boolean isRevoking;

  ClaimSchedule(
      EventLoop eventLoop,
      StateClient state,
      String member,
      String incarnation,
      Claimant claimant) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.member = member;
    this.incarnation = incarnation;
    this.claimant = claimant;
  }

  /** Allows no claim for {@code pauseMs} from now. */
  void pauseFor(long pauseMs) {
    earliestClaimMs = eventLoop.nowMs() + pauseMs;
  }

  /** Schedules a claim, unless one is scheduled. */
  void scheduleClaim() {
    if (isScheduled) {
      return;
    }
    isScheduled = true;
    long waitMs = Math.max(0, earliestClaimMs - eventLoop.nowMs());
    eventLoop.after(
        waitMs + (long) (LeaderConstants.CLAIM_JITTER_MS * eventLoop.random().nextDouble()),
        () -> {
          isScheduled = false;
          claimant.onClaimDue();
        });
  }

  /** Checks the vacancy once more after a fixed pause. */
  void retryAfter(long pauseMs) {
    eventLoop.after(pauseMs, claimant::claimIfVacant);
  }

  /** Revokes the leader's lease if it is held by an earlier process of this member. */
  void revokeIfPredecessor(LeaderRecord leader) {
    if (isRevoking || !leader.member().equals(member) || leader.incarnation().equals(incarnation)) {
      return;
    }
    isRevoking = true;
    if (Math.abs(eventLoop.wallMs() - leader.claimedAtWallMs())
        < LeaderConstants.CRASH_LOOP_WINDOW_MS) {
      // The predecessor ended soon after its claim, and so may this process: a member that runs
      // well goes first. A process that ends at once each time would otherwise lead for ever, a
      // moment at a time.
      earliestClaimMs =
          Math.max(earliestClaimMs, eventLoop.nowMs() + LeaderConstants.CRASH_LOOP_PAUSE_MS);
    }
    state.revokeLease(
        leader.storeLeaseId(),
        revocation -> {
          isRevoking = false;
          if (!revocation.isConfirmed()) {
            retryAfter(ProtocolConstants.RETRY_MS);
          }
        });
  }
}
