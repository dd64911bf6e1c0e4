package fennelthread.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsTest {
  private static final String VALID =
      """
      member = "nodo-0"
      site = "norte"
      api_addr = "10.0.0.1:8080"
      mesh_addr = "10.0.0.1:8081"
      something_new = 1
      [[siblings]]
      member = "nodo-1"
      site = "norte"
      addr = "10.0.0.2:8081"
      [endpoints]
      cloud = "10.2.0.2:8443"
      state = "10.2.0.1:2379"
      [cluster]
      zones = ["norte"]
      [[cluster.teams]]
      name = "roja"
      cpus = 8.0
      [[cluster.objectives]]
      kind = "wait"
      class = "servicio"
      within_s = 1.0
      share = 0.9
      [cluster.workers]
      report_s = 1.5
      lease_s = 10.0
      cancel_s = 30.0
      [cluster.state]
      rps = 100.0
      write_rps = 50.0
      value_kb = 8.0
      txn_ops = 8
      [cluster.cloud]
      rps = 3.0
      list_lag_s = 4.0
      """;

  @TempDir Path dir;

  private Settings load(String text) throws IOException, SettingsException {
    Path file = dir.resolve("s.toml");
    Files.writeString(file, text);
    return Settings.load(file);
  }

  @Test
  void validSettingsAreRead() throws Exception {
    Settings settings = load(VALID);
    assertEquals(10_000, settings.workers().leaseMs());
    assertEquals(8 * 1024, settings.state().valueBytes());
    assertEquals(0.0, settings.teams().get("roja").cpusMax());
    assertTrue(settings.hasWaitObjective("servicio"));
  }

  /** Lower future limits apply from the start, since the change comes without notice. */
  @Test
  void theLowerOfCurrentAndFutureLimitsApplies() throws Exception {
    String next = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 16\nnew_limit = 1\n";
    Settings settings = load(VALID.replace("[cluster.cloud]", next + "[cluster.cloud]"));
    assertEquals(new Settings.StateLimits(100, 50, 2 * 1024, 8), settings.state());
    assertEquals(new Settings.StateLimits(100, 50, 8 * 1024, 8), load(VALID).state());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "txn_ops = 8|txn_ops = 8\\n[cluster.state.next]\\ntxn_ops = 1|cluster.state.next.txn_ops",
        "txn_ops = 8|txn_ops = 8\\n[cluster.state.next]\\nvalue_kb = \"big\"|cluster.state.next.value_kb",
        "txn_ops = 8|txn_ops = 8\\nnext = 3|cluster.state.next",
      })
  void invalidFutureLimitsAreReported(String valid, String invalid, String field) {
    theFieldAtFaultIsReportedInOneLine(valid, invalid.replace("\\n", "\n"), field);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "api_addr = \"10.0.0.1:8080\"|api_addr = \"10.0.0.1\"|api_addr",
        "api_addr = \"10.0.0.1:8080\"||api_addr",
        "lease_s = 10.0|lease_s = 0.0|cluster.workers.lease_s",
        "lease_s = 10.0|lease_s = \"long\"|cluster.workers.lease_s",
        "txn_ops = 8|txn_ops = 1|cluster.state.txn_ops",
        "state = \"10.2.0.1:2379\"||endpoints.state",
        "[cluster.cloud]|[cluster.sky]|cluster.cloud",
        "member = \"nodo-0\"|member = 5|member",
      })
  void theFieldAtFaultIsReportedInOneLine(String valid, String invalid, String field) {
    SettingsException e =
        assertThrows(
            SettingsException.class,
            () -> load(VALID.replace(valid, invalid == null ? "" : invalid)));
    assertTrue(e.getMessage().contains(": " + field + " "), e.getMessage());
    assertEquals(1, e.getMessage().lines().count());
  }

  @Test
  void malformedTomlIsRejected() {
    assertThrows(SettingsException.class, () -> load("member = = 3"));
  }

  @Test
  void optionsAreRead() throws SettingsException {
    Options options =
        Options.parse("o", "(fennelthread (max-machines 12) ; a comment\n (grant-ms 5000))");
    assertEquals(12, options.maxMachines());
    assertEquals(5_000, options.storeLeaseMs());
    assertEquals(Options.DEFAULTS.spareFactor(), options.spareFactor());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "(fennelthread (max-machine 12))|o:1:15: max-machine is not a known setting",
        "(fennelthread (max-machines many))|o:1:15: max-machines must be a number",
        "(fennelthread (max-machines -1))|o:1:15: max-machines must be from 0.0 to 100000.0",
        "(fennelthread (grant-ms 5000) (grant-ms 6000))|o:1:31: grant-ms is given twice",
        "(fennelthread (grant-ms 5000 6000))|o:1:15: grant-ms takes one value",
        "(other (grant-ms 5000))|o:1:1: must be (fennelthread (NAME VALUE) ...)",
      })
  void invalidOptionsAreReportedWithTheirPosition(String text, String message) {
    SettingsException e = assertThrows(SettingsException.class, () -> Options.parse("o", text));
    assertEquals(message, e.getMessage());
  }
}
