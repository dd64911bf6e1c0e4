package fennelthread.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.ElectionConstants;
import fennelthread.constants.PeerConstants;
import fennelthread.constants.ProtocolConstants;
import org.junit.jupiter.api.Test;

/** One follower's failure detector, and the margins between its timeouts. */
class LeaderViewTest {
  private final LeaderView view = new LeaderView();
  private long nowMs = 1_000_000;

  /** Advances the clock with regular checks; returns whether the leader is suspected at the end. */
  private boolean advance(long durationMs) {
    boolean isSuspected = false;
    for (long endMs = nowMs + durationMs;
        nowMs < endMs;
        nowMs += ElectionConstants.CHECK_INTERVAL_MS) {
      isSuspected = view.checkSilence(nowMs);
    }
    return isSuspected;
  }

  private void receiveHeartbeatsFor(long durationMs) {
    for (long endMs = nowMs + durationMs; nowMs < endMs; ) {
      assertEquals(7, view.promiseOnHeartbeat(7, 0, nowMs));
      assertFalse(advance(800));
    }
  }

  private void beginSettledEpoch() {
    view.checkSilence(nowMs);
    view.beginEpoch(7, nowMs);
    receiveHeartbeatsFor(20_000);
  }

  /** Timeouts that must exceed others for the protocol to be safe or useful. */
  @Test
  void timeoutsKeepTheirMargins() {
    long longestPromiseMs =
        (long) (ElectionConstants.PROMISE_MS * (1 + 2 * ProtocolConstants.MAX_CLOCK_DRIFT))
            + ProtocolConstants.LEASE_MARGIN_MS;
    assertTrue(
        ElectionConstants.MIN_EPOCH_MS > longestPromiseMs,
        "a restarted process must not agree while a forgotten promise is in force");
    assertTrue(
        ElectionConstants.PROMISE_REMAINING_MS > PeerConstants.HEARTBEAT_INTERVAL_MS,
        "the leader must declare before the next heartbeat is due");
    assertTrue(
        ElectionConstants.PROMISE_MS
            > 2 * PeerConstants.HEARTBEAT_INTERVAL_MS * (1 + ProtocolConstants.PAUSE_JITTER_SHARE),
        "a promise must outlast one lost heartbeat");
  }

  @Test
  void silentLeaderIsSuspectedAndAgreementWithholdsPromises() {
    beginSettledEpoch();
    assertFalse(view.agreeToTakeover(7, 3, nowMs), "the promise is in force");
    assertTrue(advance(4_000));
    assertEquals(LeaderView.Phase.SUSPECTED, view.phase());
    assertFalse(view.agreeToTakeover(6, 3, nowMs), "the request names another epoch");
    assertTrue(view.agreeToTakeover(7, 3, nowMs));
    assertEquals(
        0, view.promiseOnHeartbeat(7, 3, nowMs), "withheld until the declaration is newer");
    assertEquals(7, view.promiseOnHeartbeat(7, 4, nowMs));
    assertFalse(view.agreeToTakeover(7, 4, nowMs));
  }

  /** A leader with slow heartbeats is suspected later than one with fast ones. */
  @Test
  void suspicionTimeoutFollowsTheLongestGap() {
    beginSettledEpoch();
    for (int i = 0; i < 4; i++) {
      advance(1_900);
      view.promiseOnHeartbeat(7, 0, nowMs);
    }
    // The longest gap was 2.85 s, so the leader is silent after 5.7 s.
    assertFalse(advance(4_500));
    assertTrue(advance(2_000));
  }

  @Test
  void stalledProcessDoesNotSuspectTheLeader() {
    beginSettledEpoch();
    nowMs += 20_000;
    assertFalse(view.checkSilence(nowMs));
    assertFalse(view.agreeToTakeover(7, 3, nowMs));
    assertFalse(advance(2_000));
    assertTrue(advance(1_500));
  }

  /** A new process does not know what its predecessor promised or agreed to. */
  @Test
  void restartedProcessWithholdsPromisesAndDelaysAgreement() {
    view.checkSilence(nowMs);
    view.beginAfterRestart(7, 12, nowMs);
    assertEquals(0, view.promiseOnHeartbeat(7, 12, nowMs));
    assertFalse(advance(ElectionConstants.MIN_EPOCH_MS - 500));
    assertFalse(view.agreeToTakeover(7, 12, nowMs));
    assertTrue(advance(1_000));
    assertTrue(view.agreeToTakeover(7, 12, nowMs));
    view.beginEpoch(8, nowMs);
    assertEquals(8, view.promiseOnHeartbeat(8, 12, nowMs));
  }
}
