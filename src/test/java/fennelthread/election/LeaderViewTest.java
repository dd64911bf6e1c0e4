package fennelthread.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.ElectionConstants;
import fennelthread.constants.PeerConstants;
import fennelthread.constants.ProtocolConstants;
import org.junit.jupiter.api.Test;

/** One follower's failure detector, step by step, and the margins between its timeouts. */
class LeaderViewTest {
  private final LeaderView view = new LeaderView();
  private long now = 1_000_000;

  /** Lets time pass with regular checks; true if the leader is suspected at the end. */
  private boolean advance(long ms) {
    boolean suspect = false;
    for (long end = now + ms; now < end; now += ElectionConstants.CHECK_INTERVAL_MS) {
      suspect = view.checkSilence(now);
    }
    return suspect;
  }

  private void receiveHeartbeatsFor(long ms) {
    for (long end = now + ms; now < end; ) {
      assertEquals(7, view.promiseOnHeartbeat(7, 0, now));
      assertFalse(advance(800));
    }
  }

  private void beginSettledEpoch() {
    view.checkSilence(now);
    view.beginEpoch(7, now);
    receiveHeartbeatsFor(20_000);
  }

  /** Timeouts that must exceed others for the protocol to be safe or useful. */
  @Test
  void timeoutsKeepTheirMargins() {
    long promise =
        (long) (ElectionConstants.PROMISE_MS * (1 + 2 * ProtocolConstants.CLOCK_DRIFT))
            + ProtocolConstants.LEASE_MARGIN_MS;
    assertTrue(
        ElectionConstants.MIN_EPOCH_MS > promise, "a new process forgets promises still in force");
    assertTrue(
        ElectionConstants.PROMISE_REMAINING_MS > PeerConstants.HEARTBEAT_INTERVAL_MS,
        "declares before the next heartbeat is due");
    assertTrue(
        ElectionConstants.PROMISE_MS
            > 2 * PeerConstants.HEARTBEAT_INTERVAL_MS * (1 + ProtocolConstants.JITTER),
        "one lost heartbeat");
  }

  @Test
  void silentLeaderIsSuspectedAndAgreementWithholdsPromises() {
    beginSettledEpoch();
    assertFalse(view.agreeToTakeover(7, 3, now), "the promise is in force");
    assertTrue(advance(4_000));
    assertEquals(LeaderView.Phase.SUSPECTED, view.phase());
    assertFalse(view.agreeToTakeover(6, 3, now), "of another epoch");
    assertTrue(view.agreeToTakeover(7, 3, now));
    assertEquals(0, view.promiseOnHeartbeat(7, 3, now), "withheld until the declaration is newer");
    assertEquals(7, view.promiseOnHeartbeat(7, 4, now));
    assertFalse(view.agreeToTakeover(7, 4, now));
  }

  /** A leader with slow heartbeats is suspected later than one with fast ones. */
  @Test
  void suspicionTimeoutFollowsTheLongestGap() {
    beginSettledEpoch();
    for (int i = 0; i < 4; i++) {
      advance(1_900);
      view.promiseOnHeartbeat(7, 0, now);
    }
    // The longest gap was some 2.8 s.
    assertFalse(advance(4_500));
    assertTrue(advance(2_000));
  }

  @Test
  void stalledProcessDoesNotSuspectTheLeader() {
    beginSettledEpoch();
    now += 20_000;
    assertFalse(view.checkSilence(now));
    assertFalse(view.agreeToTakeover(7, 3, now));
    assertFalse(advance(2_000));
    assertTrue(advance(1_500));
  }

  /** A new process does not know what its predecessor promised or agreed to. */
  @Test
  void restartedProcessWithholdsPromisesAndDelaysAgreement() {
    view.checkSilence(now);
    view.beginAfterRestart(7, 12, now);
    assertEquals(0, view.promiseOnHeartbeat(7, 12, now));
    assertFalse(advance(ElectionConstants.MIN_EPOCH_MS - 500));
    assertFalse(view.agreeToTakeover(7, 12, now));
    assertTrue(advance(1_000));
    assertTrue(view.agreeToTakeover(7, 12, now));
    view.beginEpoch(8, now);
    assertEquals(8, view.promiseOnHeartbeat(8, 12, now));
  }
}
