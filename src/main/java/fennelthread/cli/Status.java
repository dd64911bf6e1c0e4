package fennelthread.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** The command that shows a job's state. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    description = "Asks a controller for a job's state.")
final class Status implements Callable<Integer> {
  @Mixin private Client client;

  @Parameters(paramLabel = "ID", description = "The job's id, such as job-000412.")
  private String id;

  @Override
  public Integer call() throws Exception {
    return client.send("GET", Client.jobPath(id), null);
  }
}
