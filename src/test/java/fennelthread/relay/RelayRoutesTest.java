package fennelthread.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RelayRoutesTest {
  private static final long VALID_FOR_MS = 1_000;
  private final RelayRoutes routes = new RelayRoutes(VALID_FOR_MS);

  @Test
  void aRouteIsValidForAWhile() {
    routes.record("n-1", "c-1", 100);
    assertEquals("c-1", routes.peerOf("n-1", 100 + VALID_FOR_MS));
    assertNull(routes.peerOf("n-1", 101 + VALID_FOR_MS));
    assertNull(routes.peerOf("n-2", 100));
    routes.record("n-1", "c-2", 200);
    assertEquals("c-2", routes.peerOf("n-1", 101 + VALID_FOR_MS));
    routes.forget("n-1");
    assertNull(routes.peerOf("n-1", 200));
  }

  /** Guards against a leader that grows with each machine that was ever heard through a peer. */
  @Test
  void routesOfWorkersThatAreGoneAreDropped() {
    for (int i = 0; i < 10_000; i++) {
      routes.record("n-" + i, "c-1", 10L * i);
    }
    assertTrue(routes.size() <= 2 * VALID_FOR_MS / 10 + 2, routes.size() + " routes");
  }
}
