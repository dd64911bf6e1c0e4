package fennelthread.emulate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.settings.SettingsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class EmulationConfigReaderTest {
  private static final String GOOD =
      """
      ; a comment (with a list)
      (emulation
        (zones north)
        (workers 10)
        (machine-type (name m) (cpus 4) (mem-gb 16))
        (timing (report-s 1))
        (state (rps 100) (write-rps 50))
        (team (name red) (limit 0.5))
        (job-class (name quick) (teams red) (tasks 1 3) (task-s 2 4))
        (load (tasks-per-worker 3) (at 0 1) (at 10 2))
        (fault (kind state-out) (at-s 5)))
      """;

  @Test
  void readsWhatIsThere() throws SettingsException {
    EmulationConfig config = EmulationConfigReader.parse("f", GOOD, 20);
    assertEquals(20, config.workers());
    assertEquals(80, config.fleetCpus());
    // Twenty workers with three tasks of three seconds each.
    assertEquals(20, config.load().startsPerSecond(0), 1e-9);
    assertEquals(30, config.load().startsPerSecond(5), 1e-9);
    assertEquals(40, config.load().startsPerSecond(99), 1e-9);
    assertEquals(EmulationConfig.FaultKind.STATE_OUT, config.faults().get(0).kind());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "(workers 10)|(workers ten)|f:4:3: workers must be a number, not ten",
        "(workers 10)|(workers 0)|f:4:3: workers must be from 1 to 20000",
        "(workers 10)|(workers 1.5)|f:4:3: workers must be a whole number",
        "(workers 10)|(workers 10) (workers 11)|f:4:16: workers is given twice",
        "(workers 10)|(werkers 10)|f:2:1: emulation needs (workers ...)",
        "(cpus 4)|(cpus 4) (wheels 4)|f:5:35: wheels is not known in machine-type",
        "(teams red)|(teams blue)|f:9:3: job-class names an unknown team: blue",
        "(tasks 1 3)|(tasks 3 1)|f:9:39: tasks must not begin above its end",
        "(tasks 1 3)|(tasks 3)|f:9:39: tasks takes 2 values",
        "(at 10 2)|(at 0 2)|f:10:39: at must come later than the one before it",
        "(tasks-per-worker 3)|(tasks 3)|f:10:3: load needs either tasks-per-worker or starts-per-s",
        "(kind state-out)|(kind fire)|f:11:10: kind must be one of kill-controller, pause-controller,"
            + " kill-workers, cut-zone, state-out, state-refuse, state-slow, cloud-out",
        "(workers 10)|(workers 10) (controller-options (round-gap-ms 1))|controller-options:1:15:"
            + " round-gap-ms must be from 10.0 to 10000.0",
        "(emulation|(simulation|f:1:1: must be (emulation (NAME VALUE ...) ...)",
      })
  void refusesTheRestInOneLine(String from, String to, String message) {
    String text = GOOD.replace(from, to);
    SettingsException e =
        assertThrows(SettingsException.class, () -> EmulationConfigReader.parse("f", text, null));
    assertEquals(message, e.getMessage());
  }

  @Test
  void readsTheJobsThatOthersWaitFor() throws SettingsException {
    String waiting =
        "(job-class (name next) (teams red) (tasks 1 1) (task-s 2 4) (waits-for quick 5) (from-s 7))";
    EmulationConfig config =
        EmulationConfigReader.parse("f", GOOD.replace("  (load", waiting + "\n  (load"), null);
    EmulationConfig.JobClass next = config.jobClasses().get(1);
    assertEquals(new EmulationConfig.NamedJobs("quick", 5), next.named());
    assertFalse(next.arrivesAt(6.9));
    assertTrue(next.arrivesAt(7));
    String unknown = GOOD.replace("  (load", waiting.replace("quick", "slow") + "\n  (load");
    SettingsException e =
        assertThrows(
            SettingsException.class, () -> EmulationConfigReader.parse("f", unknown, null));
    assertEquals(
        "f:2:1: emulation has no class of arrays that others wait for: slow", e.getMessage());
  }

  private static List<Path> deployed(String directory) throws Exception {
    try (Stream<Path> files = Files.list(Path.of(directory))) {
      return files.filter(p -> p.toString().endsWith(".sexp")).toList();
    }
  }

  static List<Path> deployed() throws Exception {
    return deployed("deploy");
  }

  static List<Path> deployedFaults() throws Exception {
    return deployed("deploy/faults");
  }

  /** Faults of a file of their own replace those of the run. */
  @ParameterizedTest
  @MethodSource("deployedFaults")
  void readsFaultsThatAreDeployed(Path faults) throws SettingsException {
    Path run = Path.of("deploy/emulate-fan-in.sexp");
    assertEquals(List.of(), EmulationConfigReader.load(run, null, null).faults());
    assertEquals(2, EmulationConfigReader.load(run, faults, null).faults().size());
  }

  @ParameterizedTest
  @MethodSource("deployed")
  void readsWhatIsDeployed(Path file) throws SettingsException {
    EmulationConfigReader.load(file, null, null);
  }
}
