package fennelthread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which connections go when a process nears its limit of sockets. */
class InboundConnectionsTest {
  private long nowMs;
  private final Set<String> open = new LinkedHashSet<>();

  /**
   * A fifth of the machines is cut off, and each comes back on a new connection while its old one
   * is still open here: the old ones go, nobody else's does.
   */
  @Test
  void staleConnectionsMakeRoomForTheirMachines() {
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
    assertEquals(800, open.size(), "as many as leave a tenth of the sockets free");
    for (int i = 160; i < 780; i++) {
      assertTrue(open.contains("m" + i), "m" + i + " was in use");
    }
  }

  /** Connections that are in use are not closed, however many there are. */
  @Test
  void noConnectionInUseIsClosed() {
    InboundConnections<String> inbound = inbound(100, 10);
    for (int i = 0; i < 300; i++) {
      nowMs += 10;
      use(inbound, "c" + i);
    }
    assertEquals(300, open.size());
  }

  /**
   * Workers' connections are closed after an answer once so many are open that others need the
   * rest.
   */
  @Test
  void aCrowdedProcessKeepsNoConnectionsOfWorkers() {
    InboundConnections<String> inbound = inbound(1_000, 100);
    for (int i = 0; i < 2_000; i++) {
      nowMs += 2;
      use(inbound, "m" + i);
      if (inbound.isCrowded()) {
        open.remove("m" + i);
        inbound.gone("m" + i);
      }
    }
    assertEquals(730, open.size());
  }

  private InboundConnections<String> inbound(int sockets, int outbound) {
    return new InboundConnections<>(() -> nowMs, sockets, () -> outbound, open::remove);
  }

  private void use(InboundConnections<String> inbound, String connection) {
    open.add(connection);
    inbound.used(connection);
  }
}
