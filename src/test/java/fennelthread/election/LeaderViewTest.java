package fennelthread.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.ElectionConstants;
import fennelthread.constants.PeerConstants;
import fennelthread.constants.ProtocolConstants;
import org.junit.jupiter.api.Test;

/** One follower's view, step by step, and the margins between its times. */
class LeaderViewTest {
  private final LeaderView view = new LeaderView();
  private long now = 1_000_000;

  /** Time passes, looked at as it should be; true if the leader is suspect at the end of it. */
  private boolean pass(long ms) {
    boolean suspect = false;
    for (long end = now + ms; now < end; now += ElectionConstants.VIEW_MS) {
      suspect = view.look(now);
    }
    return suspect;
  }

  private void heartbeatsFor(long ms) {
    for (long end = now + ms; now < end; ) {
      assertEquals(7, view.onHeartbeat(7, 0, now));
      assertFalse(pass(800));
    }
  }

  private void settled() {
    view.look(now);
    view.begin(7, now);
    heartbeatsFor(20_000);
  }

  /** The paper's second finding: margins that must be larger than others are compared. */
  @Test
  void marginsHold() {
    long promise =
        (long) (ElectionConstants.PROMISE_MS * (1 + 2 * ProtocolConstants.CLOCK_DRIFT))
            + ProtocolConstants.LEASE_MARGIN_MS;
    assertTrue(
        ElectionConstants.TAKEOVER_GAP_MS > promise,
        "a new process forgets promises still in force");
    assertTrue(
        ElectionConstants.PROMISE_SPARE_MS > PeerConstants.HEARTBEAT_INTERVAL_MS,
        "alone before the next heartbeat is due");
    assertTrue(
        ElectionConstants.PROMISE_MS
            > 2 * PeerConstants.HEARTBEAT_INTERVAL_MS * (1 + ProtocolConstants.JITTER),
        "one lost heartbeat");
  }

  @Test
  void silenceIsSuspectAndAgreeingBinds() {
    settled();
    assertFalse(view.agree(7, 3, now), "the promise is in force");
    assertTrue(pass(4_000));
    assertEquals(LeaderView.Phase.SUSPECTED, view.phase());
    assertFalse(view.agree(6, 3, now), "of another epoch");
    assertTrue(view.agree(7, 3, now));
    assertEquals(0, view.onHeartbeat(7, 3, now), "bound until the word is newer");
    assertEquals(7, view.onHeartbeat(7, 4, now));
    assertFalse(view.agree(7, 4, now));
  }

  /** A leader whose heartbeats are slow is suspected later than one whose are not. */
  @Test
  void suspicionFollowsTheGaps() {
    settled();
    for (int i = 0; i < 4; i++) {
      pass(1_900);
      view.onHeartbeat(7, 0, now);
    }
    // The longest gap was some 2.8 s.
    assertFalse(pass(4_500));
    assertTrue(pass(2_000));
  }

  @Test
  void aProcessThatStoodStillSuspectsNobody() {
    settled();
    now += 20_000;
    assertFalse(view.look(now));
    assertFalse(view.agree(7, 3, now));
    assertFalse(pass(2_000));
    assertTrue(pass(1_500));
  }

  /** What its predecessor promised or agreed to, a new process does not know. */
  @Test
  void aNewProcessIsBoundAndPatient() {
    view.look(now);
    view.born(7, 12, now);
    assertEquals(0, view.onHeartbeat(7, 12, now));
    assertFalse(pass(ElectionConstants.TAKEOVER_GAP_MS - 500));
    assertFalse(view.agree(7, 12, now));
    assertTrue(pass(1_000));
    assertTrue(view.agree(7, 12, now));
    view.begin(8, now);
    assertEquals(8, view.onHeartbeat(8, 12, now));
  }
}
