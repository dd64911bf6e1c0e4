package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.state.StateClient;

/**
 * Decides when a follower claims a vacant leadership: after a random wait, and after an additional
 * pause if the controller has stepped down or its process seems to be in a crash loop. Also revokes
 * the lease of an earlier process of the same member, instead of waiting for its expiry.
 */
final class ClaimSchedule {
  /** Submits the claims that are due, and checks for a vacancy. */
  interface Claimant {
    /** Called when a scheduled claim is due; the leadership may have been taken meanwhile. */
    void onClaimDue();

    /** Called to check again whether the leadership is vacant. */
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

  /** Schedules no claim earlier than {@code pauseMs} from now. */
  void postponeClaims(long pauseMs) {
    earliestClaimMs = eventLoop.nowMs() + pauseMs;
  }

  /** Schedules a claim unless one is scheduled already. */
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

  /** Checks after {@code pauseMs} whether the leadership is vacant. */
  void recheckVacancyAfter(long pauseMs) {
    eventLoop.after(pauseMs, claimant::claimIfVacant);
  }

  /** Revokes the leader's lease if it is held by an earlier process of this member. */
  void revokePredecessorLease(LeaderRecord leader) {
    if (isRevoking || !leader.member().equals(member) || leader.incarnation().equals(incarnation)) {
      return;
    }
    isRevoking = true;
    if (Math.abs(eventLoop.wallMs() - leader.claimedAtWallMs())
        < LeaderConstants.CRASH_LOOP_WINDOW_MS) {
      // The previous process ended soon after its claim, and this one may do the same: let a
      // healthy member claim first. Otherwise a process in a crash loop would win each election and
      // lead for only a moment each time.
      earliestClaimMs =
          Math.max(earliestClaimMs, eventLoop.nowMs() + LeaderConstants.CRASH_LOOP_PAUSE_MS);
    }
    state.revokeLease(
        leader.storeLeaseId(),
        revocation -> {
          isRevoking = false;
          if (!revocation.isConfirmed()) {
            recheckVacancyAfter(ProtocolConstants.STATE_RETRY_DELAY_MS);
          }
        });
  }
}
