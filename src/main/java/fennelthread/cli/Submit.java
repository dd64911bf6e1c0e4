package fennelthread.cli;

import fennelthread.settings.SettingsException;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command that submits a job. */
@Command(
    name = "submit",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    description = "Submits a job described in a JSON file with the protocol's fields.")
final class Submit implements Callable<Integer> {
  @Mixin private Client client;

  @Parameters(paramLabel = "JOB.json", description = "The job.")
  private Path file;

  @Option(
      names = "--after",
      paramLabel = "ID",
      description =
          "A job that must be done before this one starts, in addition to those in the file; "
              + "may be repeated.")
  private List<String> after = List.of();

  @Override
  public Integer call() throws Exception {
    byte[] body;
    try {
      Fields job = Codec.JSON.decode(Files.readAllBytes(file));
      body = Codec.CBOR.encode(after.isEmpty() ? job : withDependencies(job, after));
    } catch (IOException e) {
      throw new SettingsException(file + ": can't be read: " + e.getMessage());
    } catch (WireException e) {
      throw new SettingsException(file + ": " + e.getMessage());
    }
    return client.send("POST", "/v1/jobs", body);
  }

  /** Adds dependencies to those that the job already names; the controller validates them. */
  static Fields withDependencies(Fields job, List<String> after) throws WireException {
    List<String> inFile = job.optTexts(JobSpec.DEPENDENCIES);
    List<Object> dependencies = new ArrayList<>(inFile == null ? List.of() : inFile);
    dependencies.addAll(after);
    return job.with(JobSpec.DEPENDENCIES, dependencies);
  }
}
