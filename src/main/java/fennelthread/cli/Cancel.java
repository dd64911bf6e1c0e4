package fennelthread.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Cancels a job. */
@Command(
    name = "withdraw",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    description = "Withdraws a job: its tasks are stopped and none is started any more.")
final class Cancel implements Callable<Integer> {
  @Mixin private Client client;

  @Parameters(paramLabel = "ID", description = "The job's id, such as job-000412.")
  private String id;

  @Override
  public Integer call() throws Exception {
    return client.send("POST", Client.path(id) + "/withdraw", new byte[0]);
  }
}
