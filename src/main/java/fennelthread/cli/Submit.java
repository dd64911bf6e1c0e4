package fennelthread.cli;

import fennelthread.settings.SettingsException;
import fennelthread.wire.Codec;
import fennelthread.wire.WireException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Submits a job. */
@Command(
    name = "submit",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    description = "Submits a job described in a JSON file with the protocol's fields.")
final class Submit implements Callable<Integer> {
  @Mixin private Client client;

  @Parameters(paramLabel = "JOB.json", description = "The job.")
  private Path file;

  @Override
  public Integer call() throws Exception {
    byte[] body;
    try {
      body = Codec.CBOR.encode(Codec.JSON.decode(Files.readAllBytes(file)));
    } catch (IOException e) {
      throw new SettingsException(file + ": can't be read: " + e.getMessage());
    } catch (WireException e) {
      throw new SettingsException(file + ": " + e.getMessage());
    }
    return client.send("POST", "/v1/jobs", body);
  }
}
