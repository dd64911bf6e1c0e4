package fennelthread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which connections a process closes near its limit of sockets. */
class InboundConnectionsTest {
  private long nowMs;
  private final Set<String> open = new LinkedHashSet<>();

  /**
   * A fifth of the machines are cut off, and each of them reconnects while its old connection is
   * still open in the process. Only such old connections are closed, and only as many as needed.
   */
  @Test
  void onlyStaleConnectionsAreClosedForNewOnes() {
    InboundConnections<String> inbound = inbound(1_000, 100);
    for (int t = 0; t <= 30_000; t += 3_000) {
      nowMs = t;
      for (int i = t < 6_000 ? 0 : 160; i < 780; i++) {
        use(inbound, "m" + i);
      }
    }
    assertEquals(780, open.size());
    for (int i = 0; i < 160; i++) {
      use(inbound, "new-m" + i);
    }
    assertEquals(800, open.size(), "a tenth of the sockets stays free");
    for (int i = 160; i < 780; i++) {
      assertTrue(open.contains("m" + i), "m" + i + " was in use");
    }
  }

  /** A connection in use is not closed, however many are open. */
  @Test
  void connectionsInUseStayOpen() {
    InboundConnections<String> inbound = inbound(100, 10);
    for (int i = 0; i < 300; i++) {
      nowMs += 10;
      use(inbound, "c" + i);
    }
    assertEquals(300, open.size());
  }

  /**
   * Once sockets are scarce, workers' connections are closed after each answer, so that the rest
   * stays free for users, peers and health checks.
   */
  @Test
  void workersConnectionsAreClosedWhileSocketsAreScarce() {
    InboundConnections<String> inbound = inbound(1_000, 100);
    for (int i = 0; i < 2_000; i++) {
      nowMs += 2;
      use(inbound, "m" + i);
      if (inbound.areSocketsScarce()) {
        open.remove("m" + i);
        inbound.recordClosed("m" + i);
      }
    }
    assertEquals(730, open.size());
  }

  private InboundConnections<String> inbound(int maxSockets, int outboundSockets) {
    return new InboundConnections<>(() -> nowMs, maxSockets, () -> outboundSockets, open::remove);
  }

  private void use(InboundConnections<String> inbound, String connection) {
    open.add(connection);
    inbound.recordRequest(connection);
  }
}
