package fennelthread.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.Fields;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MainTest {
  @TempDir Path folder;

  /** The arguments that deployments use bypass picocli; errors must read the same either way. */
  @Test
  void serveWithAndWithoutParserReportsTheSameErrors() throws Exception {
    Path empty = Files.writeString(folder.resolve("empty.toml"), "");
    Path broken = Files.writeString(folder.resolve("broken.toml"), "member = ");
    for (Path file : new Path[] {empty, broken, folder.resolve("none.toml"), folder}) {
      String direct = errorOutput("--config", file.toString());
      assertEquals(direct, errorOutput("serve", "--config", file.toString()));
      assertTrue(direct.startsWith(file.toString()), direct);
      assertEquals(1, direct.lines().count(), direct);
    }
  }

  @Test
  void dependenciesFromTheCommandLineFollowThoseInTheFile() throws Exception {
    Fields job = Fields.create().with("espera", List.of("job-1"));
    assertEquals(
        List.of("job-1", "job-2", "job-3"),
        Submit.withDependencies(job, List.of("job-2", "job-3")).optTexts("espera"));
  }

  @Test
  void anInvalidEmulationIsReportedInOneLine() throws Exception {
    Path run = Files.writeString(folder.resolve("run.sexp"), "(emulation (workers 5))");
    String missing = errorOutput("emulate", run.toString());
    assertEquals(run + ":1:1: emulation needs (zones ...)\n", missing);
    assertEquals(
        "--duration must be from 1 to 86400\n",
        errorOutput("emulate", run.toString(), "--duration", "0"));
    assertEquals(1, errorOutput("emulate", folder.resolve("none.sexp").toString()).lines().count());
  }

  /** An invalid address or id is reported in one line, before anything is sent. */
  @ParameterizedTest
  @CsvSource({
    "--to,nonsense,job-000412",
    "--to,:8080,job-000412",
    "--to,10.0.0.1:,job-000412",
    "--to,10.0.0.1:0,job-000412",
    "--to,10.0.0.1:65536,job-000412",
    "--to,10.0.0.1:80/x,job-000412",
    "--to,a b:80,job-000412",
    "ID,127.0.0.1:1,nonsense",
    "ID,127.0.0.1:1,job-1 2",
    "ID,127.0.0.1:1,../up"
  })
  void malformedAddressesAndIdsAreReported(String argument, String to, String id) throws Exception {
    Path job = Files.writeString(folder.resolve("job.json"), "{}");
    List<String[]> commands = new ArrayList<>();
    commands.add(new String[] {"cancel", "--to", to, id});
    commands.add(new String[] {"withdraw", "--to", to, id});
    commands.add(new String[] {"status", "--to", to, id});
    if (argument.equals("--to")) {
      commands.add(new String[] {"submit", "--to", to, job.toString()});
    }
    for (String[] command : commands) {
      String text = errorOutput(command);
      assertTrue(text.startsWith(argument + ": must be of the form "), text);
      assertEquals(1, text.lines().count(), text);
    }
  }

  private static String errorOutput(String... args) {
    PrintStream standardError = System.err;
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    System.setErr(new PrintStream(text, true, StandardCharsets.UTF_8));
    try {
      assertEquals(Main.EXIT_USAGE, Main.run(args));
    } finally {
      System.setErr(standardError);
    }
    return text.toString(StandardCharsets.UTF_8);
  }
}
