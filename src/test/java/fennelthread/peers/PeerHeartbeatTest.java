package fennelthread.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.PeerConstants;
import fennelthread.wire.Codec;
import fennelthread.wire.WireException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The wire format of heartbeats between controllers, which older and newer versions must read. */
class PeerHeartbeatTest {
  private static final String CURRENT_FORMAT =
      "{\"member\":\"nodo-0\",\"incarnation\":\"a1\",\"epoch\":7,\"leading\":true,"
          + "\"served_ago_ms\":12,\"beats_heard\":3,\"chains\":true,\"relays\":true,"
          + "\"deaf\":false,\"promises\":true,\"promised\":0,"
          + "\"keep\":{\"hears\":true,\"after\":4,\"still\":7,\"withdrawn\":[\"job-000001\"],\"to\":5,"
          + "\"all\":true,\"keeping\":false,\"kept_ms_ago\":900},"
          + "\"memory\":{\"job_bytes\":30000000,\"short\":true},"
          + "\"workers\":{\"n-1\":\"10.1.0.1:9000\"},\"gone\":[\"n-2\"]}";

  private static final RenewalStatus RENEWAL =
      new RenewalStatus(true, 4, 7, List.of("job-000001"), 5, true, false, 900);

  private static PeerHeartbeat read(String json) throws WireException {
    return PeerHeartbeat.read(Codec.JSON.decode(json.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void currentFormatIsWrittenAndReadUnchanged() throws WireException {
    PeerHeartbeat heartbeat =
        new PeerHeartbeat(
            new HeartbeatSender("nodo-0", "a1", 7, true, 12, 3, false),
            new PeerFeatures(true, true, true),
            0,
            RENEWAL,
            new WorkerAddressUpdate(Map.of("n-1", "10.1.0.1:9000"), List.of("n-2")),
            new MemoryStatus(30_000_000, true));
    assertEquals(
        CURRENT_FORMAT, new String(Codec.JSON.encode(heartbeat.write()), StandardCharsets.UTF_8));
    assertEquals(heartbeat, read(CURRENT_FORMAT));
  }

  /**
   * A field that an older version omits reads as its default; an unknown field of a newer version
   * is ignored.
   */
  @Test
  void olderAndNewerFormatsAreRead() throws WireException {
    assertFalse(read(CURRENT_FORMAT.replace("\"chains\":true,", "")).features().dependencies());
    assertTrue(
        read(CURRENT_FORMAT.replace("\"chains\":true,", "\"chains\":true,\"unknown_field\":[1],"))
            .features()
            .dependencies());
    assertNull(read(CURRENT_FORMAT.replace("keep", "kept")).renewal());
    assertNull(read(CURRENT_FORMAT.replace("memory", "unknown_field")).memory());
    assertEquals(
        PeerConstants.NEVER_RENEWED,
        read(CURRENT_FORMAT.replace(",\"kept_ms_ago\":900", "")).renewal().renewedAgoMs());
  }
}
